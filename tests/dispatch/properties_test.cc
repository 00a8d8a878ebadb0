// Property: under any sequence of faults no invariant of the platform is
// violated, and once all faults are repaired every accepted job ends.

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <iostream>
#include <string>
#include <vector>

#include "dispatch/fault_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::fault_fixture;
using tests::fault_kind;
using tests::injected_fault;
using tests::Step;

namespace {

constexpr std::int64_t kFaultPeriodMs = 12000;
constexpr std::int64_t kStepMs = 100;

// Submits a job at an entry that is running.
void SubmitJob(fault_fixture& fixture, int number) {
  std::uint32_t entry = static_cast<std::uint32_t>(number) % 3;
  if (!fixture.simulation.entry(entry).alive)
    return;
  const std::string id = "00000000000001" + std::to_string(10 + number);
  const bool gang = number % 3 == 0;
  const char* queue = number % 4 == 0   ? "urgent"
                      : number % 4 == 1 ? "background"
                                        : "normal";
  std::vector<work::step_spec> steps{
      Step(2 + number % 3, 1 + number % 8, gang)};
  if (number % 5 == 0)
    steps.push_back(Step(2, 2, false, {0}));
  fixture.simulation.Submit(entry, id, steps, queue);
}

void RunAndCheck(std::uint64_t seed,
                 const std::vector<injected_fault>& faults) {
  fault_fixture fixture(seed);
  const work::duration start = fixture.simulation.now();
  int next_job_number = 0;
  for (std::int64_t at = 0; at <= 2 * kFaultPeriodMs; at += kStepMs) {
    for (const injected_fault& each : faults) {
      if (each.at / kStepMs == at / kStepMs)
        fixture.Inject(each);
      if ((each.at + each.duration) / kStepMs == at / kStepMs)
        fixture.Repair(each);
    }
    if (at % 600 == 0 && at < kFaultPeriodMs)
      SubmitJob(fixture, next_job_number++);
    fixture.simulation.RunFor(start + work::duration(at) -
                              fixture.simulation.now());
  }
  fixture.simulation.RunFor(work::duration(60000));
  if (!fixture.Violation().empty()) {
    const std::string& violation = fixture.Violation();
    std::cerr << fixture.simulation.LogOf("leadership")
              << fixture.simulation.LogOf(
                     violation.substr(violation.rfind(' ') + 1));
  }
  RC_ASSERT(fixture.Violation() == "");
  for (const work::feed_item& item : fixture.simulation.store().records()) {
    if (!item.value)
      continue;
    const auto& record = std::get<work::record>(*item.value);
    const auto* submitted = std::get_if<work::job_submitted>(&record);
    if (submitted == nullptr)
      continue;
    const std::string& job = submitted->content.job.value();
    const auto phase = fixture.simulation.PhaseOf(job).value();
    if (!work::IsClosed(phase)) {
      std::cerr << fixture.simulation.LogOf("leadership")
                << fixture.simulation.LogOf(job);
    }
    RC_ASSERT(work::IsClosed(phase));
  }
}

}  // namespace

namespace rc {

template <>
struct Arbitrary<injected_fault> {
  static Gen<injected_fault> arbitrary() {
    return gen::build<injected_fault>(
        gen::set(
            &injected_fault::kind,
            gen::map(gen::inRange(0, static_cast<int>(fault_kind::kOlderCount)),
                     [](int kind) { return static_cast<fault_kind>(kind); })),
        gen::set(&injected_fault::at,
                 gen::inRange<std::int64_t>(0, kFaultPeriodMs)),
        gen::set(&injected_fault::duration,
                 gen::inRange<std::int64_t>(200, 9000)),
        gen::set(&injected_fault::target, gen::inRange<std::uint32_t>(0, 30)));
  }
};

}  // namespace rc

Test(dispatcher,
     under_random_failures_violates_no_invariant_and_ends_every_job) {
  const bool holds = rc::check(
      [](std::uint64_t seed, const std::vector<injected_fault>& faults) {
        RunAndCheck(seed, faults);
      });
  cr_assert(holds);
}
