// Property: under orders that are left unanswered and carried out late, workers
// that refuse, are replaced, leave or come back, and the older faults beside
// them, no invariant of the platform is violated. Once all faults are repaired,
// every accepted job ends in bounded time, every end is acknowledged, and no
// unit counts as placed for long without running.

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/fault_fixture.h"

namespace dispatch = parsleyhitch::dispatch;
namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::fault_fixture;
using tests::fault_kind;
using tests::injected_fault;
using tests::Step;

namespace {

// A fault whose kind is most often a newer one.
struct newer_fault {
  injected_fault content;
};

std::ostream& operator<<(std::ostream& out, const newer_fault& each) {
  return out << each.content;
}

constexpr std::int64_t kFaultPeriodMs = 12000;
constexpr std::int64_t kRepairedAtMs = 2 * kFaultPeriodMs;
constexpr std::int64_t kStepMs = 100;
constexpr std::int64_t kSubmitEveryMs = 1200;
constexpr work::duration kEndsWithin{40000};
// The lease, and the time in which its expiry is known and acted upon.
constexpr work::duration kMissingAtMost{9000};
constexpr work::duration kAcknowledgedWithin{2000};
constexpr std::uint32_t kWorkers = 6;
// One for each that may be replaced.
constexpr std::uint32_t kSpareWorkers = kWorkers;
// Leaves room for earlier ones.
constexpr std::uint64_t kFirstLife = 1000;
// With every third seed tasks outlast a lease.
constexpr work::duration kLongTask{7000};
constexpr std::int64_t kCancelAfterMs = 1500;

using member_key = std::pair<work::unit_id, std::uint32_t>;

struct newer_failures_fixture : fault_fixture {
  explicit newer_failures_fixture(std::uint64_t seed)
      : fault_fixture(tests::simulation_options{
            .workers = kWorkers + kSpareWorkers,
            .spare_workers = kSpareWorkers,
            .first_life = kFirstLife,
            .seed = seed,
            .task_duration = seed % 3 == 0 ? kLongTask : work::duration(0),
            .task_duration_spread = work::duration(1500)}) {}

  static std::string JobOf(int number) {
    return "00000000000001" + std::to_string(10 + number);
  }

  void SubmitJob(int number) {
    const std::uint32_t entry = static_cast<std::uint32_t>(number) % 3;
    if (!simulation.entry(entry).alive)
      return;
    const bool gang = number % 3 == 0;
    const char* queue = number % 4 == 0   ? "urgent"
                        : number % 4 == 1 ? "background"
                                          : "normal";
    std::vector<work::step_spec> steps{
        Step(2 + number % 3, 1 + number % 8, gang)};
    if (number % 5 == 0)
      steps.push_back(Step(2, 2, false, {0}));
    simulation.Submit(entry, JobOf(number), steps, queue);
  }

  void CancelJob(int number) {
    const std::uint32_t entry = static_cast<std::uint32_t>(number) % 3;
    if (simulation.entry(entry).alive && simulation.PhaseOf(JobOf(number)))
      simulation.Cancel(entry, JobOf(number));
  }

  // Returns the first member that has counted as placed for too long without
  // running on its worker, or empty. To be called at each step.
  std::string MissingForLong() {
    std::map<member_key, work::duration> missing;
    const auto leader = simulation.Leader();
    if (!leader)
      return "";
    for (const auto& [id, each] :
         simulation.entry(*leader).state.leader.units) {
      if (each.phase != dispatch::unit_phase::kPlaced)
        continue;
      for (std::uint32_t i = 0; i < each.members.size(); ++i) {
        const dispatch::member& one = each.members[i];
        if (one.state == dispatch::member_state::kEnded ||
            IsRunningOn(one.worker, id, i, each.attempt))
          continue;
        const auto known = missing_since_.find({id, i});
        const work::duration since =
            known == missing_since_.end() ? simulation.now() : known->second;
        missing.emplace(member_key{id, i}, since);
        if (simulation.now() - since > kMissingAtMost)
          return "placed without running for long: " + id.job.value();
      }
    }
    missing_since_ = std::move(missing);
    return "";
  }

  // Returns the first worker whose ends are not all acknowledged, or empty.
  std::string UnacknowledgedEnds() {
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      const tests::simulated_worker& each = simulation.worker(i);
      if (each.alive && !each.replaced && !each.Listing().ended.empty())
        return "ends not acknowledged: " + each.id.value();
    }
    return "";
  }

  // Returns the first accepted job that has not ended, or that has failed
  // although no task did, or empty.
  std::string UnfinishedJob(bool may_fail) {
    for (const work::feed_item& item : simulation.store().records()) {
      const auto& record = std::get<work::record>(*item.value);
      const auto* submitted = std::get_if<work::job_submitted>(&record);
      if (submitted == nullptr)
        continue;
      const std::string& job = submitted->content.job.value();
      const auto phase = simulation.PhaseOf(job).value();
      if (!work::IsClosed(phase))
        return "job has not ended: " + job;
      if (phase == work::job_phase::kFailed && !may_fail)
        return "job failed without cause: " + job;
    }
    return "";
  }

 private:
  bool IsRunningOn(const work::worker_id& worker,
                   const work::unit_id& id,
                   std::uint32_t index,
                   std::uint64_t attempt) {
    const work::task_id task{.job = id.job,
                             .occurrence = id.occurrence,
                             .step = id.step,
                             .index = id.index + index};
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      const tests::simulated_worker& each = simulation.worker(i);
      if (each.id != worker)
        continue;
      const auto found = each.running().find(task);
      return found != each.running().end() && found->second.attempt == attempt;
    }
    return false;
  }

  std::map<member_key, work::duration> missing_since_;
};

// True if the fault ends runs as failed, or crashes workers.
bool MayFailJobs(const newer_fault& each) {
  constexpr fault_kind kKinds[] = {
      fault_kind::kFailingWorker,         fault_kind::kRestartWorker,
      fault_kind::kReplaceWorker,         fault_kind::kCutAndReplaceWorker,
      fault_kind::kCutAndRestartWorker,   fault_kind::kDrainWorker,
      fault_kind::kRestartWithEarlierLife};
  return std::ranges::find(kKinds, each.content.kind) != std::end(kKinds);
}

// Returns the first finding, or empty.
std::string Run(newer_failures_fixture& fixture,
                const std::vector<newer_fault>& faults) {
  const work::duration start = fixture.simulation.now();
  int submitted = 0;
  for (std::int64_t at = 0; at <= kRepairedAtMs; at += kStepMs) {
    for (const auto& [each] : faults) {
      if (each.at / kStepMs == at / kStepMs)
        fixture.Inject(each);
      if ((each.at + each.duration) / kStepMs == at / kStepMs)
        fixture.Repair(each);
    }
    if (at % kSubmitEveryMs == 0 && at < kFaultPeriodMs)
      fixture.SubmitJob(submitted++);
    const std::int64_t cancelled = (at - kCancelAfterMs) / kSubmitEveryMs;
    const bool cancels = at >= kCancelAfterMs && at % kSubmitEveryMs == 0 &&
                         cancelled < submitted && cancelled % 7 == 3;
    if (cancels)
      fixture.CancelJob(static_cast<int>(cancelled));
    fixture.simulation.RunFor(start + work::duration(at) -
                              fixture.simulation.now());
  }
  fixture.RepairAll();
  const work::duration ends_at = fixture.simulation.now() + kEndsWithin;
  while (fixture.simulation.now() < ends_at) {
    fixture.simulation.RunFor(work::duration(kStepMs));
    const std::string missing = fixture.MissingForLong();
    if (!missing.empty())
      return missing;
  }
  if (!fixture.Violation().empty())
    return fixture.Violation();
  const std::string unfinished =
      fixture.UnfinishedJob(std::ranges::any_of(faults, MayFailJobs));
  if (!unfinished.empty())
    return unfinished;
  // The last ends may have been listed just now.
  fixture.simulation.RunUntil(
      [&] { return fixture.UnacknowledgedEnds().empty(); },
      kAcknowledgedWithin);
  return fixture.UnacknowledgedEnds();
}

void RunAndCheck(std::uint64_t seed, const std::vector<newer_fault>& faults) {
  newer_failures_fixture fixture(seed);
  const std::string finding = Run(fixture, faults);
  if (!finding.empty()) {
    std::cerr << finding << "\n"
              << fixture.simulation.LogOf("leadership")
              << fixture.simulation.LogOf(
                     finding.substr(finding.rfind(' ') + 1));
  }
  RC_ASSERT(finding == "");
}

}  // namespace

namespace rc {

template <>
struct Arbitrary<newer_fault> {
  static Gen<newer_fault> arbitrary() {
    // Newer kinds three times as often as older ones.
    const auto kinds = gen::weightedOneOf<int>(
        {{1, gen::inRange(0, static_cast<int>(fault_kind::kOlderCount))},
         {3, gen::inRange(static_cast<int>(fault_kind::kOlderCount),
                          static_cast<int>(fault_kind::kCount))}});
    return gen::map(
        gen::build<injected_fault>(
            gen::set(&injected_fault::kind,
                     gen::map(kinds,
                              [](int kind) {
                                return static_cast<fault_kind>(kind);
                              })),
            gen::set(&injected_fault::at,
                     gen::inRange<std::int64_t>(0, kFaultPeriodMs)),
            gen::set(&injected_fault::duration,
                     gen::inRange<std::int64_t>(200, 12000)),
            gen::set(&injected_fault::target,
                     gen::inRange<std::uint32_t>(0, 30))),
        [](const injected_fault& each) { return newer_fault{each}; });
  }
};

}  // namespace rc

Test(dispatcher,
     under_newer_failures_violates_no_invariant_and_ends_every_job) {
  const bool holds =
      rc::check([](std::uint64_t seed, const std::vector<newer_fault>& faults) {
        RunAndCheck(seed, faults);
      });
  cr_assert(holds);
}
