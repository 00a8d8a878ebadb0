// Tasks that crash the workers that start them, and those that run beside them.

#include <algorithm>
#include <set>
#include <string>

#include "dispatch/fleet/losses.h"
#include "dispatch/simulation_fixture.h"

namespace dispatch = parsleyhitch::dispatch;
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
    return unit == nullptr
               ? 0
               : dispatch::LossesOf(*unit, dispatch::loss_kind::kAtStart) +
                     dispatch::LossesOf(*unit, dispatch::loss_kind::kLater);
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

// Leaders follow one another while workers are cut off.
struct successor_losses_fixture : deadly_fixture {
  // Cuts off a worker that runs the job and can be reached.
  tests::simulated_worker& CutWorkerOf(const std::string& job) {
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      tests::simulated_worker& each = simulation.worker(i);
      const bool runs = std::ranges::any_of(
          each.running(),
          [&](const auto& run) { return run.first.job.value() == job; });
      if (!runs || each.cut)
        continue;
      each.cut = true;
      return each;
    }
    cr_assert_fail("no worker runs the job");
    return simulation.worker(0);
  }

  void AwaitLosses(std::uint32_t losses) {
    cr_assert(simulation.RunUntil([&] { return LossesOf(kOtherJob) == losses; },
                                  kWithin));
  }

  void ReplaceLeader() {
    const std::uint32_t killed = Leader();
    // Its records are stored.
    simulation.RunFor(work::duration(300));
    simulation.Kill(killed);
    AwaitSuccessorOf(killed);
  }
};

// Guards against an attempt of a gang whose loss is counted by two leaders in
// turn, each with another of its workers.
Test(gang, whose_workers_are_lost_to_two_leaders_counts_one_loss) {
  successor_losses_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(2, 8, true)});
  cr_assert(fixture.Runs(kOtherJob, work::duration(1000)));
  fixture.CutWorkerOf(kOtherJob);
  fixture.simulation.RunFor(work::duration(3000));
  fixture.CutWorkerOf(kOtherJob);
  fixture.AwaitLosses(1);
  fixture.ReplaceLeader();
  cr_assert_eq(fixture.LossesOf(kOtherJob), 1U);
  cr_assert(fixture.Ends(kOtherJob, work::job_phase::kCompleted));
  cr_assert_eq(fixture.LinesOf("unit_lost").size(), 1U);
}

// Guards against silence that counts as a crash once the leader that counted it
// has been replaced.
Test(task, whose_worker_was_only_silent_counts_no_loss_with_a_successor) {
  successor_losses_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(1, 8)});
  cr_assert(fixture.Runs(kOtherJob, work::duration(1000)));
  tests::simulated_worker& silent = fixture.CutWorkerOf(kOtherJob);
  fixture.AwaitLosses(1);
  fixture.ReplaceLeader();
  cr_assert_eq(fixture.LossesOf(kOtherJob), 1U);
  silent.cut = false;
  fixture.AwaitLosses(0);
  // Not because the job has ended.
  cr_assert(fixture.IsRunning(kOtherJob));
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

// Workers that crash for causes of their own, twice in a row below the same
// tasks, and a job that arrives later.
struct crashing_workers_fixture : simulation_fixture {
  static constexpr std::uint32_t kFewWorkers = 8;
  static constexpr std::uint32_t kTasks = 8;

  // The workers crash after their tasks have run for `runs_for`.
  explicit crashing_workers_fixture(work::duration runs_for)
      : simulation_fixture(
            {.workers = kFewWorkers, .task_duration = work::duration(100000)}) {
    simulation.Submit(Follower(), kJob, {Step(kTasks, 1)});
    CrashWorkerOfAll(runs_for);
    CrashWorkerOfAll(runs_for);
  }

  std::size_t TasksOn(std::uint32_t worker) {
    return simulation.worker(worker).running().size();
  }

  std::uint32_t WorkersInUse() {
    std::uint32_t used = 0;
    for (std::uint32_t i = 0; i < kFewWorkers; ++i)
      used += TasksOn(i) > 0 ? 1 : 0;
    return used;
  }

  // Has the worker with most tasks crash once all of them have run for so long.
  void CrashWorkerOfAll(work::duration runs_for) {
    const auto all_run = [&] {
      std::size_t running = 0;
      for (std::uint32_t i = 0; i < kFewWorkers; ++i)
        running += TasksOn(i);
      return running == kTasks;
    };
    cr_assert(simulation.RunUntil(all_run, work::duration(15000)));
    simulation.RunFor(runs_for);
    std::uint32_t crashed = 0;
    for (std::uint32_t i = 0; i < kFewWorkers; ++i)
      crashed = TasksOn(i) > TasksOn(crashed) ? i : crashed;
    simulation.worker(crashed).Crash();
    simulation.worker(crashed).restarts_at =
        simulation.now() + work::duration(4000);
    cr_assert(simulation.RunUntil(all_run, work::duration(15000)));
  }
};

// Guards against tasks that keep a worker each for themselves after two crashes
// of workers, so that the others stay idle and later jobs wait.
Test(tasks, lost_twice_leave_their_workers_to_others_once_they_run) {
  crashing_workers_fixture fixture(work::duration(1500));
  fixture.simulation.RunFor(work::duration(3000));
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(8, 7)});
  cr_assert(fixture.Runs(kOtherJob, work::duration(1000)));
}

// Guards against suspects that take a worker each, without a bound in number.
Test(tasks, lost_twice_just_after_their_start_leave_most_workers_idle) {
  crashing_workers_fixture fixture(work::duration(100));
  cr_assert_leq(fixture.WorkersInUse(), fixture.kFewWorkers / 2,
                "%u workers in use", fixture.WorkersInUse());
}

// Guards against a job with many suspects that takes all workers out of use.
Test(tasks, that_crash_their_workers_leave_most_workers_to_others) {
  deadly_fixture fixture(work::duration(3000));
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(8, 4)});
  for (int i = 0; i < 30; ++i) {
    const std::string other = "00000000000000" + std::to_string(10 + i);
    fixture.simulation.Submit(fixture.Follower(), other, {Step(1, 1)});
    cr_assert(fixture.Runs(other, work::duration(3000)), "job %d", i);
  }
  cr_assert(fixture.Ends(kJob, work::job_phase::kFailed, kWithin));
}

// Guards against a sound job that is shown as failed because its workers crash
// again and again for causes of their own.
Test(job, whose_workers_crash_while_its_task_runs_is_not_given_up) {
  simulation_fixture fixture({.task_duration = work::duration(4000)});
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  for (int i = 0; i < 5; ++i) {
    cr_assert(fixture.Runs(kJob, work::duration(15000)));
    fixture.simulation.RunFor(work::duration(1500));
    tests::simulated_worker& crashed = fixture.WorkerOf(kJob);
    crashed.Crash();
    crashed.restarts_at = fixture.simulation.now() + work::duration(4000);
  }
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
}

// Guards against the same when its workers crash behind a cut, so that nothing
// tells how long its task had run.
Test(job, whose_workers_are_cut_off_and_crash_is_not_given_up) {
  simulation_fixture fixture({.task_duration = work::duration(4000)});
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  for (int i = 0; i < 5; ++i) {
    cr_assert(fixture.Runs(kJob, work::duration(15000)));
    tests::simulated_worker& crashed = fixture.WorkerOf(kJob);
    crashed.cut = true;
    fixture.simulation.RunFor(work::duration(2000));
    crashed.Restart(fixture.simulation.now());
    crashed.cut = false;
  }
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
}

// Guards against work that crashes its workers some time after its start and
// is started without end.
Test(task, that_crashes_its_workers_after_a_while_is_given_up) {
  constexpr work::duration kLong{200000};
  constexpr std::uint64_t kMaxLaterStarts = 16;
  simulation_fixture fixture({.task_duration = work::duration(4000)});
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  const auto crash_and_see_the_end = [&] {
    if (fixture.IsRunning(kJob)) {
      fixture.simulation.RunFor(work::duration(1500));
      tests::simulated_worker& crashed = fixture.WorkerOf(kJob);
      crashed.Crash();
      crashed.restarts_at = fixture.simulation.now() + work::duration(4000);
    }
    return fixture.simulation.PhaseOf(kJob) == work::job_phase::kFailed;
  };
  cr_assert(fixture.simulation.RunUntil(crash_and_see_the_end, kLong));
  cr_assert_leq(fixture.simulation.starts(), kMaxLaterStarts);
}
