// The limits of clients that follow from settings, publication and machine.

#include "runtime/client_limits.h"

#include <criterion/criterion.h>

#include <cstdint>

namespace intake = parsleyhitch::intake;
namespace runtime = parsleyhitch::runtime;
namespace settings = parsleyhitch::settings;
namespace work = parsleyhitch::work;

namespace {

constexpr std::uint64_t kSmallestMachine = 3075;

intake::limits LimitsFor(const settings::dispatch_settings& settings,
                         const work::client_limits& published = {}) {
  return runtime::ClientLimits(settings, published, kSmallestMachine);
}

}  // namespace

Test(client_limits, not_published_are_those_of_the_settings) {
  const intake::limits limits =
      LimitsFor({.max_body_bytes = 5000, .max_header_bytes = 2000});
  cr_expect_eq(limits.max_body_bytes, 5000);
  cr_expect_eq(limits.max_header_bytes, 2000);
  cr_expect_eq(limits.idle_timeout.count(), 60000);
}

Test(client_limits, published_go_before_the_settings) {
  const intake::limits limits =
      LimitsFor({}, {.max_header_bytes = 200000,
                     .max_body_bytes = 1000000,
                     .header_timeout = work::duration(300),
                     .idle_timeout = work::duration(90000)});
  cr_expect_eq(limits.max_header_bytes, 200000);
  cr_expect_eq(limits.max_body_bytes, 1000000);
  cr_expect_eq(limits.header_timeout.count(), 300);
  cr_expect_eq(limits.idle_timeout.count(), 90000);
}

// Guards against a published body that ends the process.
Test(client_limits, published_beyond_the_memory_are_bounded_by_it) {
  const intake::limits limits =
      LimitsFor({.memory_mb = 120}, {.max_body_bytes = 1000000000});
  cr_expect_leq(limits.max_body_bytes * 3, limits.memory_bytes);
  cr_expect_eq(limits.memory_bytes, 30 * 1048576);
}

// Guards against callers that leave no descriptors for files, the store, the
// workers and the peers.
Test(client_limits, on_the_smallest_machine_leave_descriptors_to_the_process) {
  cr_expect_eq(LimitsFor({}).max_caller_connections, 1437);
  cr_expect_eq(LimitsFor({.max_descriptors = 1200}).max_caller_connections,
               500);
  cr_expect_eq(
      LimitsFor({.max_client_connections = 100000}).max_caller_connections,
      1437);
  cr_expect_eq(LimitsFor({.max_client_connections = 10}).max_caller_connections,
               10);
}
