// Tasks that the leader gives up, and the workers on which they may still run
// or have ended.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr work::duration kHeartbeatInterval{1500};
constexpr work::duration kLongNotice{30000};

// One worker runs a task that takes longer than a lease, and announces that it
// leaves some time after the end of the task.
struct draining_fixture : simulation_fixture {
  static constexpr work::duration kTaskDuration{9000};

  draining_fixture() : simulation_fixture({.task_duration = kTaskDuration}) {
    const work::step_spec step = Step(1, 8);
    simulation.Submit(
        0, kJob, {{.tasks = 1, .need = step.need, .estimate = kTaskDuration}});
    cr_assert(Runs(kJob, work::duration(3000)));
    draining = IndexOfWorkerOf(kJob);
    simulation.Drain(draining, kLongNotice);
    simulation.RunFor(kHeartbeatInterval);
  }

  std::uint32_t IndexOfWorkerOf(const std::string& job) {
    const work::worker_id id = WorkerOf(job).id;
    std::uint32_t index = 0;
    while (simulation.worker(index).id != id)
      ++index;
    return index;
  }

  std::uint32_t draining = 0;
};

// A worker was cut off while it ran a task to its end. The task was given up
// and runs again elsewhere.
struct superseded_fixture : simulation_fixture {
  superseded_fixture() : simulation_fixture({.task_duration = kTaskDuration}) {
    simulation.Submit(Follower(), kJob, {Step(1, 8)});
    cr_assert(Runs(kJob, work::duration(3000)));
    first = &WorkerOf(kJob);
    first->cut = true;
    cr_assert(simulation.RunUntil([&] { return simulation.starts() == 2; },
                                  kGivenUpWithin));
  }

  // Runs tasks on all workers, the first one included, until they end.
  void RunJobOnAllWorkers() {
    simulation.RunFor(kHeartbeatInterval);
    simulation.Submit(Leader(), kOtherJob,
                      {Step(kTasksPerWorker * simulation.worker_count(), 4)});
    cr_assert(simulation.RunUntil([&] { return !first->running().empty(); },
                                  kReturnsWithin));
    cr_assert(Ends(kOtherJob, work::job_phase::kCompleted));
  }

  // True once the worker has had each of its ends acknowledged.
  bool AreAllEndsAcknowledged() {
    return simulation.RunUntil([&] { return first->Listing().ended.empty(); },
                               kAcknowledgedWithin);
  }

  // Several times as many as run at a time.
  static constexpr std::uint32_t kTasksPerWorker = 8;
  static constexpr work::duration kTaskDuration{3000};
  static constexpr work::duration kGivenUpWithin{9000};
  static constexpr work::duration kReturnsWithin{9000};
  static constexpr work::duration kAcknowledgedWithin{1000};
  tests::simulated_worker* first = nullptr;
};

// A leader without store started a task on a worker whose registry entry then
// expired, so that its successor knows neither of the start nor of the worker.
struct unlisted_fixture : simulation_fixture {
  explicit unlisted_fixture(work::duration task_duration)
      : simulation_fixture({.workers = 2, .task_duration = task_duration}) {
    const std::uint32_t first = Leader();
    simulation.Submit(Follower(), kJob, {Step(1, 8)});
    // The leader plans the job some time after it has read it.
    while (LinesOf("job_added").empty())
      simulation.RunFor(work::duration(1));
    simulation.store().down = true;
    cr_assert(Runs(kJob, work::duration(1000)));
    unlisted = &WorkerOf(kJob);
    unlisted->cut_from_store = true;
    simulation.RunFor(3 * kHeartbeatInterval);
    simulation.Kill(first);
    simulation.store().down = false;
    AwaitSuccessorOf(first);
  }

  tests::simulated_worker* unlisted = nullptr;
};

}  // namespace

// Guards against running a task twice at a time when a draining worker is cut
// off and its registry entry expires before its leases.
Test(worker_draining, cut_off_keeps_its_task_until_its_lease_has_expired) {
  draining_fixture fixture;
  fixture.simulation.worker(fixture.draining).cut = true;
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
  cr_assert_eq(fixture.simulation.starts(), 2U);
}

// Guards against a worker whose ends are no longer acknowledged, and pile up,
// once a task that was given up on it turns out to have been done.
Test(worker, reached_after_its_lease_has_expired_has_all_ends_acknowledged) {
  superseded_fixture fixture;
  fixture.first->cut = false;
  fixture.RunJobOnAllWorkers();
  cr_assert(fixture.AreAllEndsAcknowledged());
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
  cr_assert_eq(fixture.simulation.starts(), 50U);
}

// The same, at a leader that does not know that the lease has expired.
Test(worker, reached_by_a_successor_first_has_all_ends_acknowledged) {
  superseded_fixture fixture;
  fixture.simulation.RunFor(work::duration(300));
  const std::uint32_t leader = fixture.Leader();
  fixture.simulation.Kill(leader);
  fixture.first->cut = false;
  cr_assert(fixture.simulation.RunUntil(
      [&] {
        const auto next = fixture.simulation.Leader();
        return next && *next != leader;
      },
      work::duration(4000)));
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  fixture.RunJobOnAllWorkers();
  cr_assert(fixture.AreAllEndsAcknowledged());
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against acknowledging the end of a task that was started again later,
// once many ends had followed it.
Test(worker, with_many_ends_after_a_withheld_one_has_run_no_task_twice) {
  unlisted_fixture fixture(work::duration(7000));
  // The first run has ended when the task starts again; its worker returns
  // before its lease expires.
  cr_assert(fixture.simulation.RunUntil(
      [&] {
        return fixture.LinesOf("unit_placed " + std::string(kJob)).size() == 2;
      },
      work::duration(9000)));
  fixture.unlisted->cut_from_store = false;
  fixture.simulation.Submit(fixture.Leader(), kOtherJob, {Step(900, 0)});
  cr_assert(fixture.Ends(kOtherJob, work::job_phase::kCompleted,
                         work::duration(120000)));
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.unlisted->Listing().ended.empty(); },
      work::duration(1000)));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against running a task twice at a time when a leader without store has
// started it on a worker that is missing from its successor's registry.
Test(successor,
     starts_no_older_unit_while_an_unlisted_worker_may_run_it_without_record) {
  unlisted_fixture fixture(work::duration(12000));
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// A leader died before it wrote a record of a start, and the worker's registry
// entry expired before the election.
struct unrecorded_fixture : simulation_fixture {
  explicit unrecorded_fixture(bool runs_recorded_task)
      : simulation_fixture(
            {.workers = 2, .task_duration = work::duration(12000)}) {
    const std::uint32_t first = Leader();
    if (runs_recorded_task) {
      simulation.Submit(Follower(), kOtherJob, {Step(1, 4)});
      simulation.RunFor(work::duration(200));
    }
    simulation.RunFor(kHeartbeatInterval - work::duration(1) -
                      simulation.now() % kHeartbeatInterval);
    simulation.worker(0).cut_from_store = true;
    simulation.RunFor(work::duration(2300));
    simulation.Submit(Follower(), kJob, {Step(1, 4)});
    while (LinesOf(std::string("job_added ") + kJob).empty())
      simulation.RunFor(work::duration(1));
    simulation.entry(first).cut_from_store = true;
    cr_assert(Runs(kJob, work::duration(1000)));
    cr_assert(WorkerOf(kJob).id == simulation.worker(0).id);
    simulation.Kill(first);
  }
};

// Guards against running a task twice at a time when it was started without a
// record on a worker that is missing from the registry of the next leader.
Test(successor, finding_a_recorded_worker_unlisted_starts_no_older_unit) {
  unrecorded_fixture fixture(true);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  fixture.simulation.RunFor(work::duration(20000));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against the same on a worker that no record names either.
Test(successor, not_knowing_of_an_unlisted_worker_starts_no_task_twice) {
  unrecorded_fixture fixture(false);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}
