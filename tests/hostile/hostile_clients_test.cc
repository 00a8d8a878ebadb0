// Tests with a real entry process and clients that do not keep to its limits.
// They guard against a process that runs out of memory or descriptors, or stops
// accepting, and against ordinary callers that get no answer after that. They
// check neither times nor the share of requests served.

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <csignal>
#include <cstdint>
#include <string>

#include "support/client_crowd.h"
#include "support/platform_site.h"

using parsleyhitch::test::client_crowd;
using parsleyhitch::test::client_script;
using parsleyhitch::test::platform_site;
using parsleyhitch::test::process_usage;

namespace {

constexpr char kJob[] = "00000000000000a1";

// The memory of the smallest machine that runs an entry.
constexpr std::uint64_t kMachineKb = 120 * 1024;
// Descriptors that a process leaves to files.
constexpr std::uint32_t kFileDescriptors = 200;
// Fewer than the smallest machine has, so that a small crowd suffices.
constexpr std::uint32_t kDescriptors = 1024;
constexpr std::uint32_t kFewDescriptors = 512;

// Sizes of the crowds.
constexpr std::uint32_t kHeads = 100;
constexpr std::uint32_t kEmptyLines = 64;
constexpr std::uint32_t kLargeChunkBodies = 512;
constexpr std::uint32_t kSmallChunkBodies = 48;
constexpr std::uint32_t kIdle = 800;

constexpr char kRequestLine[] =
    "POST /normal/00000000000000c1 HTTP/1.1\r\nHost: jobs.example\r\n"
    "X-Api-Key: key-1\r\n";

std::string ChunkedRequest() {
  return std::string(kRequestLine) + "Transfer-Encoding: chunked\r\n\r\n";
}

// 1 MB of head.
client_script OversizedHead() {
  return {.opening = kRequestLine,
          .repeated = "X-Field: " + std::string(1013, 'v') + "\r\n",
          .repeats = 1024};
}

// Just under the 80 KB at which the HTTP parser ends a head, in small fields.
client_script EndlessHead() {
  return {.opening = kRequestLine, .repeated = "a:b\r\n", .repeats = 16000};
}

// 4 MB of empty lines.
client_script EndlessEmptyLines() {
  return {.opening = "\r\n", .repeated = "\r\n", .repeats = 2097152};
}

// One chunk short of the body's end, which is just under `max_body_bytes`.
client_script LargeChunks() {
  return {.opening = ChunkedRequest(),
          .repeated = "2000\r\n" + std::string(0x2000, 'b') + "\r\n",
          .repeats = 31};
}
client_script SmallChunks() {
  return {
      .opening = ChunkedRequest(), .repeated = "1\r\nb\r\n", .repeats = 262000};
}

struct hostile_fixture {
  explicit hostile_fixture(std::uint32_t descriptor_limit = kDescriptors)
      : descriptors(descriptor_limit),
        site({.entries = 1, .workers = 2, .descriptors = descriptor_limit}) {}

  void Add(std::uint32_t count, const client_script& script) {
    crowd.Add(site.CallersAddress(0), count, script);
  }

  // The clients stay connected while the process is looked at.
  void ExpectServiceWithinBounds() {
    crowd.Run();
    site.Await("the entry to read what was sent",
               [this] { return site.HasReadAll(0); });
    const process_usage usage = site.Usage(0);
    cr_log_info("peak memory: %lu KB, descriptors: %lu", usage.peak_resident_kb,
                usage.descriptors);
    cr_expect_gt(usage.peak_resident_kb, 0, "the process has ended");
    cr_expect_lt(usage.peak_resident_kb, kMachineKb, "peak memory: %lu KB",
                 usage.peak_resident_kb);
    cr_expect_lt(usage.descriptors, descriptors - kFileDescriptors,
                 "descriptors: %lu", usage.descriptors);
    cr_expect_eq(site.Submit(0, kJob, {}).status, 200);
    site.AwaitState(0, kJob, "completed");
    cr_expect_gt(site.Usage(0).peak_resident_kb, 0, "the process has ended");
    cr_expect(site.FirstBreach().empty(), "%s", site.FirstBreach().c_str());
  }

  const std::uint32_t descriptors;
  platform_site site;
  client_crowd crowd;
};

}  // namespace

Test(hostile_clients, with_oversized_heads_leave_the_entry_serving) {
  hostile_fixture fixture;
  fixture.Add(kHeads, OversizedHead());
  fixture.ExpectServiceWithinBounds();
}

Test(hostile_clients, with_endless_heads_leave_the_entry_serving) {
  hostile_fixture fixture;
  fixture.Add(kHeads, EndlessHead());
  fixture.ExpectServiceWithinBounds();
}

Test(hostile_clients, with_endless_empty_lines_leave_the_entry_serving) {
  hostile_fixture fixture;
  fixture.Add(kEmptyLines, EndlessEmptyLines());
  fixture.ExpectServiceWithinBounds();
}

Test(hostile_clients, with_unfinished_large_chunks_leave_the_entry_serving) {
  hostile_fixture fixture;
  fixture.Add(kLargeChunkBodies, LargeChunks());
  fixture.ExpectServiceWithinBounds();
}

Test(hostile_clients, with_unfinished_small_chunks_leave_the_entry_serving) {
  hostile_fixture fixture;
  fixture.Add(kSmallChunkBodies, SmallChunks());
  fixture.ExpectServiceWithinBounds();
}

// Guards against a process that has used up its descriptors, after which
// RESTinio accepts no connection any more.
Test(hostile_clients, idle_beyond_the_descriptors_leave_the_entry_serving) {
  hostile_fixture fixture(kFewDescriptors);
  fixture.Add(kIdle, {});
  fixture.ExpectServiceWithinBounds();
}

Test(hostile_clients, of_all_kinds_leave_the_entry_serving) {
  hostile_fixture fixture(kFewDescriptors);
  fixture.Add(kHeads / 2, OversizedHead());
  fixture.Add(kHeads / 2, EndlessHead());
  fixture.Add(kEmptyLines / 2, EndlessEmptyLines());
  fixture.Add(kLargeChunkBodies / 2, LargeChunks());
  fixture.Add(kSmallChunkBodies / 2, SmallChunks());
  fixture.Add(kIdle / 2, {});
  fixture.ExpectServiceWithinBounds();
}

// Guards against servers for operators that have no limits of their own.
Test(hostile_clients, at_the_ports_of_operators_leave_the_entry_serving) {
  hostile_fixture fixture;
  for (const std::string& address :
       {fixture.site.ProbesAddress(0), fixture.site.MetricsAddress(0)}) {
    fixture.crowd.Add(address, kHeads, EndlessHead());
    fixture.crowd.Add(address, kSmallChunkBodies, SmallChunks());
  }
  fixture.ExpectServiceWithinBounds();
  cr_expect(fixture.site.IsReady(0));
}

// Guards against connections that outlive what decides about them.
Test(hostile_clients, connected_while_the_entry_stops_let_it_end) {
  hostile_fixture fixture;
  fixture.Add(kHeads, {});
  fixture.Add(kHeads, EndlessHead());
  fixture.crowd.Run();
  fixture.site.Signal(0, SIGTERM);
  cr_expect_eq(fixture.site.AwaitExit(0), 0);
}
