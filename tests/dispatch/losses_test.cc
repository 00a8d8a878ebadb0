// Tasks that crash the workers that start them, and those that run beside them.

#include <algorithm>
#include <set>
#include <string>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kWorkers = 12;
constexpr work::duration kWithin{60000};
// The users' bound: two further starts after three crashes. It is given up
// after four.
constexpr std::uint64_t kMaxStarts = 4;

// `kJob` crashes the workers that start it.
struct deadly_fixture : simulation_fixture {
  explicit deadly_fixture(work::duration restarts_after = work::duration(0))
      : simulation_fixture({.workers = kWorkers,
                            .task_duration = work::duration(4000),
                            .deadly_jobs = {kJob},
                            .restarts_after = restarts_after}) {}

  void ExpectGivenUp() {
    cr_assert(Ends(kJob, work::job_phase::kFailed, kWithin));
    const std::uint64_t starts = simulation.starts();
    cr_assert_leq(starts, kMaxStarts, "%s starts",
                  std::to_string(starts).c_str());
    cr_assert(Violation().empty(), "%s", Violation().c_str());
  }

  // The losses that the leader counts for the job's first unit.
  std::uint32_t LossesOf(const std::string& job) {
    const auto& units = simulation.entry(Leader()).state.leader.units;
    const auto* unit = units.Find({.job = work::job_id(job)});
    return unit == nullptr ? 0 : unit->losses;
  }
};

}  // namespace

// Guards against a task that crashes one worker after the other without end.
Test(task, that_crashes_its_workers_for_good_is_given_up) {
  deadly_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  fixture.ExpectGivenUp();
}

// Guards against the same.
Test(task, that_crashes_workers_that_come_back_is_given_up) {
  deadly_fixture fixture(work::duration(3000));
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  fixture.ExpectGivenUp();
}

// Guards against a count of crashes that starts anew with each leader.
Test(task, that_crashes_its_workers_while_leaders_are_killed_is_given_up) {
  deadly_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.LossesOf(kJob) == 2; }, kWithin));
  fixture.simulation.RunFor(work::duration(500));
  const std::uint32_t killed = fixture.Leader();
  fixture.simulation.Kill(killed);
  fixture.simulation.RunFor(work::duration(3000));
  fixture.simulation.Start(killed);
  fixture.ExpectGivenUp();
}

// Guards against sound jobs that are shown as failed because a task beside
// them crashed their worker.
Test(jobs, that_run_beside_a_task_that_crashes_its_workers_complete) {
  deadly_fixture fixture;
  std::vector<std::string> others;
  for (int i = 0; i < 10; ++i) {
    others.push_back("00000000000000c" + std::to_string(i));
    fixture.simulation.Submit(fixture.Follower(), others.back(), {Step(4, 1)});
  }
  cr_assert(fixture.Runs(others.back(), work::duration(2000)));
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kFailed, kWithin));
  for (const std::string& each : others)
    cr_assert(fixture.Ends(each, work::job_phase::kCompleted, kWithin));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against silence that counts as a crash.
Test(task, whose_worker_was_only_silent_counts_no_loss) {
  deadly_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(1, 8)});
  cr_assert(fixture.Runs(kOtherJob, work::duration(1000)));
  std::uint32_t cut = 0;
  while (fixture.simulation.worker(cut).running().empty())
    ++cut;
  fixture.simulation.worker(cut).cut = true;
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.LossesOf(kOtherJob) == 1; }, kWithin));
  fixture.simulation.worker(cut).cut = false;
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.LossesOf(kOtherJob) == 0; }, work::duration(3000)));
  cr_assert(fixture.Ends(kOtherJob, work::job_phase::kCompleted));
}

// Guards against a gang that is given up as all its workers fail at once.
Test(gang, whose_workers_are_all_lost_at_once_counts_one_loss) {
  deadly_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(4, 8, true)});
  cr_assert(fixture.Runs(kOtherJob, work::duration(1000)));
  for (std::uint32_t i = 0; i < kWorkers; ++i) {
    if (!fixture.simulation.worker(i).running().empty())
      fixture.simulation.worker(i).Crash();
  }
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.LossesOf(kOtherJob) > 0; }, kWithin));
  cr_assert_eq(fixture.LossesOf(kOtherJob), 1U);
  cr_assert(fixture.Ends(kOtherJob, work::job_phase::kCompleted));
}

// Guards against work that is lost beside a task that probably crashes its
// workers.
Test(task, lost_twice_runs_alone_on_its_worker) {
  deadly_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 1)});
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.LossesOf(kJob) == 2; }, kWithin));
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(8, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kFailed, kWithin));
  cr_assert_eq(fixture.LinesOf("unit_lost " + std::string(kOtherJob)).size(),
               0U);
}
