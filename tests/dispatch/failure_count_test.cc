// The number of failed attempts of a unit, which decides when its job fails:
// each end is counted once, however often and to however many leaders it is
// listed.

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <iostream>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dispatch/fault_fixture.h"

namespace dispatch = parsleyhitch::dispatch;
namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::fault_fixture;
using tests::fault_kind;
using tests::injected_fault;
using tests::kJob;
using tests::kTakeoverTime;
using tests::simulation_fixture;
using tests::simulation_options;
using tests::Step;

namespace {

constexpr work::duration kLongTask{100000};
constexpr std::uint32_t kMaxAttempts = 3;

std::uint32_t FailuresOf(const dispatch::unit& each) {
  return CountOf(each.failed);
}

// A job with a single task, on workers that fail what they run on request.
struct failing_task_fixture : simulation_fixture {
  failing_task_fixture()
      : simulation_fixture({.workers = 2, .task_duration = kLongTask}) {
    simulation.Submit(Follower(), kJob, {Step(1, 8)});
    cr_assert(Runs(kJob, work::duration(1000)));
    cr_assert(
        simulation.RunUntil([&] { return IsStoredWithFailures(0); }, kTimeout));
  }

  static constexpr work::duration kTimeout{1000};

  void SetWorkersFail(bool fail) {
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i)
      simulation.worker(i).fails_all_tasks = fail;
  }

  // True when the store has a record of the unit with so many failures.
  bool IsStoredWithFailures(std::uint32_t failures) {
    const work::newest_read units =
        simulation.store().Newest({.source = work::feed::kUnits});
    for (const work::feed_item& each : units.items) {
      const auto* record = std::get_if<work::record>(&*each.value);
      const auto* unit = record == nullptr
                             ? nullptr
                             : std::get_if<work::unit_progressed>(record);
      if (unit != nullptr)
        return unit->progress.failures == failures;
    }
    return false;
  }

  void KillLeader() {
    killed_ = Leader();
    simulation.Kill(killed_);
  }

  void AwaitSuccessor() { AwaitSuccessorOf(killed_); }

  std::uint32_t CountedFailures() {
    const dispatch::unit* unit =
        simulation.entry(Leader()).state.leader.units.Find(
            {.job = work::job_id(kJob)});
    return unit == nullptr ? 0 : FailuresOf(*unit);
  }

  bool Counts(std::uint32_t failures) {
    return simulation.RunUntil([&] { return CountedFailures() == failures; },
                               kTakeoverTime);
  }

 private:
  std::uint32_t killed_ = 0;
};

using attempt_key = std::pair<work::unit_id, std::uint64_t>;

constexpr std::int64_t kFaultPeriodMs = 10000;
constexpr std::int64_t kStepMs = 20;
constexpr std::int64_t kLongestFaultMs = 4000;
// An election, the leases given before it, and an order after them.
constexpr work::duration kSettleTime{14000};

// A fault under which a leader, or an answer, may be lost.
struct takeover_fault {
  injected_fault content;
};

std::ostream& operator<<(std::ostream& out, const takeover_fault& each) {
  return out << each.content;
}

// All workers fail all that they run, and note which attempts did.
struct failing_workers_fixture : fault_fixture {
  explicit failing_workers_fixture(std::uint64_t seed)
      : fault_fixture(simulation_options{.seed = seed,
                                         .task_duration = kLongTask,
                                         .max_attempts = 1000000}) {
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      tests::simulated_worker& worker = simulation.worker(i);
      worker.fails_all_tasks = true;
      worker.on_ended = [this, &worker, inner = worker.on_ended](
                            const work::task_id& task, work::run_end_kind how) {
        if (how == work::run_end_kind::kFailed)
          NoteFailed(worker.Listing().ended.back());
        inner(task, how);
      };
    }
    // Two tasks, and a gang of which several members may fail.
    simulation.Submit(Follower(), kJob, {Step(2, 1), Step(3, 4, true)});
    cr_assert(simulation.RunUntil([&] { return !failed_.empty(); },
                                  work::duration(1000)));
  }

  // Returns the first unit of which the leader counts more failures than there
  // were, or not as many if `all`; else empty.
  std::string Miscounted(bool all) {
    const auto leader = simulation.Leader();
    if (!leader)
      return all ? "no leader" : "";
    for (const auto& [id, each] :
         simulation.entry(*leader).state.leader.units) {
      const auto failed = failed_.lower_bound({id, 0});
      std::uint32_t ends = 0;
      for (auto at = failed; at != failed_.end() && at->first == id; ++at)
        ends += 1;
      if (FailuresOf(each) > ends || (all && FailuresOf(each) < ends))
        return "step " + std::to_string(id.step) + " task " +
               std::to_string(id.index) + ": " +
               std::to_string(FailuresOf(each)) + " of " + std::to_string(ends);
    }
    return "";
  }

 private:
  void NoteFailed(const work::ended_task& end) {
    const std::uint32_t index = end.task.step == 1 ? 0 : end.task.index;
    failed_.insert({{.job = end.task.job,
                     .occurrence = end.task.occurrence,
                     .step = end.task.step,
                     .index = index},
                    end.attempt});
  }

  std::set<attempt_key> failed_;
};

// Returns the first finding, or empty.
std::string Run(failing_workers_fixture& fixture,
                const std::vector<takeover_fault>& faults) {
  const work::duration start = fixture.simulation.now();
  for (std::int64_t at = 0; at <= kFaultPeriodMs + kLongestFaultMs;
       at += kStepMs) {
    for (const auto& [each] : faults) {
      if (each.at / kStepMs == at / kStepMs)
        fixture.Inject(each);
      if ((each.at + each.duration) / kStepMs == at / kStepMs)
        fixture.Repair(each);
    }
    fixture.simulation.RunFor(start + work::duration(at) -
                              fixture.simulation.now());
    const std::string above = fixture.Miscounted(false);
    if (!above.empty())
      return above;
  }
  for (std::uint32_t i = 0; i < fixture.simulation.worker_count(); ++i)
    fixture.simulation.worker(i).fails_all_tasks = false;
  fixture.RepairAll();
  fixture.simulation.store().lose_answers = 0;
  fixture.simulation.RunUntil([&] { return fixture.Miscounted(true).empty(); },
                              kSettleTime);
  return fixture.Miscounted(true);
}

}  // namespace

namespace rc {

template <>
struct Arbitrary<takeover_fault> {
  static Gen<takeover_fault> arbitrary() {
    const auto kinds = gen::element(
        fault_kind::kKillEntry, fault_kind::kKillEntry, fault_kind::kKillEntry,
        fault_kind::kFreezeEntry, fault_kind::kCutEntryFromStore,
        fault_kind::kCutEntryFromWorkers, fault_kind::kLoseAppendAnswers,
        fault_kind::kLoseAppendAnswers, fault_kind::kStoreDown,
        fault_kind::kCutWorker, fault_kind::kCutWorker,
        fault_kind::kLoseOrderAnswers, fault_kind::kLoseHoldAnswers,
        fault_kind::kLateHolds);
    return gen::map(
        gen::build<injected_fault>(
            gen::set(&injected_fault::kind, kinds),
            gen::set(&injected_fault::at,
                     gen::inRange<std::int64_t>(0, kFaultPeriodMs)),
            gen::set(&injected_fault::duration,
                     gen::inRange<std::int64_t>(200, kLongestFaultMs)),
            gen::set(&injected_fault::target,
                     gen::inRange<std::uint32_t>(0, 30))),
        [](const injected_fault& each) { return takeover_fault{each}; });
  }
};

}  // namespace rc

// Guards against a job that is shown as failed one run early: the end of a run
// that no record names was counted by two leaders in turn.
Test(failure, of_a_run_without_record_listed_to_two_leaders_counts_once) {
  failing_task_fixture fixture;
  auto& simulation = fixture.simulation;
  tests::simulated_worker& first = fixture.WorkerOf(kJob);
  // The second run, on the other worker, gets no record.
  simulation.store().refused = {work::feed::kUnits};
  fixture.SetWorkersFail(true);
  cr_assert(simulation.RunUntil([&] { return simulation.starts() == 2; },
                                kTakeoverTime));
  fixture.KillLeader();
  simulation.store().refused.clear();
  // The next leader hears of the second run's end only, and stores its count
  // without being told so.
  first.cut = true;
  fixture.AwaitSuccessor();
  simulation.store().lose_answers = 1000000;
  cr_assert(simulation.RunUntil([&] { return fixture.IsStoredWithFailures(1); },
                                kTakeoverTime));
  fixture.KillLeader();
  simulation.store().lose_answers = 0;
  first.cut = false;
  fixture.SetWorkersFail(false);
  fixture.AwaitSuccessor();
  cr_assert(simulation.RunUntil([&] { return simulation.starts() == 3; },
                                work::duration(15000)));
  cr_assert_eq(fixture.CountedFailures(), 2U);
  cr_assert(simulation.PhaseOf(kJob) == work::job_phase::kRunning);
}

// Guards against more starts than the queue allows: the failure of a run before
// the one in the record was taken for counted.
Test(failure, of_a_run_before_the_recorded_one_listed_late_is_counted) {
  failing_task_fixture fixture;
  auto& simulation = fixture.simulation;
  tests::simulated_worker& first = fixture.WorkerOf(kJob);
  first.cut = true;
  first.fails_all_tasks = true;
  cr_assert(simulation.RunUntil([&] { return simulation.starts() == 2; },
                                work::duration(15000)));
  simulation.RunFor(work::duration(500));
  fixture.KillLeader();
  first.cut = false;
  fixture.AwaitSuccessor();
  cr_assert(fixture.Counts(1));
  fixture.SetWorkersFail(true);
  cr_assert(fixture.Ends(kJob, work::job_phase::kFailed));
  cr_assert_eq(simulation.starts(), kMaxAttempts);
}

// Guards against both, and against ends that are acknowledged before a record
// that counts them is stored.
Test(failure_count,
     under_lost_leaders_and_answers_is_the_number_of_failed_ends) {
  const bool holds = rc::check([](std::uint64_t seed,
                                  const std::vector<takeover_fault>& faults) {
    failing_workers_fixture fixture(seed);
    const std::string finding = Run(fixture, faults);
    if (!finding.empty())
      std::cerr << finding << "\n" << fixture.simulation.LogOf("leadership");
    RC_ASSERT(finding == "");
    RC_ASSERT(fixture.Violation() == "");
  });
  cr_assert(holds);
}
