// Calls about jobs that an entry doesn't know, or doesn't know yet.

#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

// The ID of a job from a number below 100.
std::string JobId(std::uint32_t number) {
  constexpr std::uint64_t kFirst = 1000000000000000;
  return std::to_string(kFirst + number);
}

// An entry that lags: jobs are submitted at another one during its pause
// between two reads of the records.
struct lagging_entry_fixture : simulation_fixture {
  explicit lagging_entry_fixture(const tests::simulation_options& options = {})
      : simulation_fixture(options) {
    simulation.Submit(writer, kJob, {Step(1, 1)});
    simulation.RunFor(work::duration(60));
    for (std::uint32_t i = 0; i < kSubmitted; ++i)
      simulation.Submit(writer, JobId(i),
                        std::vector<work::step_spec>(50, Step(1, 1)));
    simulation.RunFor(work::duration(60));
  }

  static constexpr std::uint32_t kSubmitted = 20;
  const std::uint32_t reader = Leader() == 2 ? 1 : 2;
  const std::uint32_t writer = 3 - Leader() - reader;
};

}  // namespace

// Guards against a read of the records for each call about an unknown job: the
// load on the store grew when the entry lagged.
Test(calls, about_unknown_jobs_at_one_time_share_a_read_of_the_records) {
  constexpr std::uint32_t kCalls = 50;
  lagging_entry_fixture fixture;
  auto& simulation = fixture.simulation;
  const std::uint64_t appended = simulation.store().bytes_appended();
  const std::uint64_t before = simulation.entry(fixture.reader).bytes_read;
  std::vector<std::uint64_t> calls;
  for (std::uint32_t i = 0; i < kCalls; ++i)
    calls.push_back(
        simulation.Read(fixture.reader, JobId(fixture.kSubmitted + i)));
  simulation.RunFor(work::duration(100));
  const std::uint64_t read =
      simulation.entry(fixture.reader).bytes_read - before;
  // Two reads of all that was ever appended.
  cr_assert_leq(read, 2 * appended, "%llu bytes read, %llu ever appended",
                static_cast<unsigned long long>(read),
                static_cast<unsigned long long>(appended));
  for (const std::uint64_t call : calls)
    cr_expect(simulation.IsAnswered(call, work::answer_kind::kNoJob));
}

// Guards against a job that counts as unknown, although it was accepted before
// the call, because a read from before that was shared.
Test(call, that_arrives_during_a_read_of_the_records_waits_for_the_next) {
  // The read of all that was submitted takes 100 ms.
  lagging_entry_fixture fixture({.store = {.read_bytes_per_ms = 500}});
  auto& simulation = fixture.simulation;
  const std::string accepted = JobId(fixture.kSubmitted);
  const std::uint64_t first =
      simulation.Read(fixture.reader, JobId(fixture.kSubmitted + 1));
  simulation.RunFor(work::duration(10));
  const std::uint64_t submission =
      simulation.Submit(fixture.writer, accepted, {Step(1, 1)});
  simulation.RunFor(work::duration(40));
  cr_assert(simulation.IsAnswered(submission, work::answer_kind::kAccepted));
  cr_assert_not(simulation.IsAnswered(first, work::answer_kind::kNoJob));
  const std::uint64_t second = simulation.Read(fixture.reader, accepted);
  simulation.RunFor(work::duration(1000));
  cr_expect(simulation.IsAnswered(first, work::answer_kind::kNoJob));
  cr_expect(simulation.IsAnswered(second, work::answer_kind::kState));
}
