// What operators publish goes before the settings.

#include "runtime/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace parsleyhitch::runtime {

namespace {

constexpr std::uint64_t kBytesPerMb = 1048576;
// The other parts are for the process's own state, and for what the allocator
// and the kernel's sockets add to what is counted.
constexpr std::uint64_t kMemoryParts = 4;
// The platform leaves them to files; with few descriptors, at most half.
constexpr std::uint64_t kFileDescriptors = 200;
// Half of what remains is for the store, workers and peers.
constexpr std::uint64_t kDescriptorParts = 2;
// A request that is handled holds its body this often (intake/reduce.cc).
constexpr std::uint64_t kBodyCopies = 3;

template <typename Value>
Value StatedOr(Value stated, Value otherwise) {
  return stated == Value{} ? otherwise : stated;
}

std::uint32_t MaxCallerConnections(const settings::dispatch_settings& settings,
                                   std::uint64_t descriptors) {
  const std::uint64_t usable =
      settings.max_descriptors == 0
          ? descriptors
          : std::min<std::uint64_t>(settings.max_descriptors, descriptors);
  const std::uint64_t derived =
      (usable - std::min(usable / 2, kFileDescriptors)) / kDescriptorParts;
  const std::uint64_t stated = settings.max_client_connections == 0
                                   ? derived
                                   : settings.max_client_connections;
  return static_cast<std::uint32_t>(
      std::max<std::uint64_t>(std::min(stated, derived), 1));
}

}  // namespace

std::uint64_t DescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

intake::limits ClientLimits(const settings::dispatch_settings& settings,
                            const work::client_limits& published,
                            std::uint64_t descriptors) {
  const std::uint64_t memory_bytes =
      settings.memory_mb * kBytesPerMb / kMemoryParts;
  return {
      .max_header_bytes = StatedOr<std::uint64_t>(published.max_header_bytes,
                                                  settings.max_header_bytes),
      // A larger body does not fit into the budget, whoever allows it.
      .max_body_bytes =
          std::min(StatedOr<std::uint64_t>(published.max_body_bytes,
                                           settings.max_body_bytes),
                   memory_bytes / kBodyCopies),
      .header_timeout =
          StatedOr(published.header_timeout, settings.header_timeout),
      .idle_timeout = StatedOr(published.idle_timeout, settings.idle_timeout),
      .memory_bytes = memory_bytes,
      .max_caller_connections = MaxCallerConnections(settings, descriptors),
      .max_operator_connections = settings.max_operator_connections,
      .max_connections_per_address = settings.max_connections_per_address};
}

}  // namespace parsleyhitch::runtime
