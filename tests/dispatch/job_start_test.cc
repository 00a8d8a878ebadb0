// When a job counts as begun: with the first evidence that a task of it runs or
// has run. Until then it is queued, and among the waiting jobs of its queue.

#include <criterion/criterion.h>

#include <string>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr work::duration kTaskDuration{30000};
// How old the count of waiting jobs may be.
constexpr work::duration kCountAge{2000};
// Longer than the leader goes on with a start that is not answered.
constexpr work::duration kStartsGivenUp{3500};
constexpr std::uint32_t kManyOrders = 1000000;

struct job_start_fixture : simulation_fixture {
  job_start_fixture() : simulation_fixture({.task_duration = kTaskDuration}) {}

  template <typename Change>
  void ForWorkers(Change change) {
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i)
      change(simulation.worker(i));
  }

  void SetWorkersCut(bool cut) {
    ForWorkers([&](tests::simulated_worker& each) { each.cut = cut; });
  }

  void Submit() {
    const auto call = simulation.Submit(Follower(), kJob, {Step(2, 1)});
    simulation.RunFor(work::duration(100));
    cr_assert(simulation.IsAnswered(call, work::answer_kind::kAccepted));
  }

  std::uint64_t Waiting() {
    const auto call = simulation.Read(Leader(), "");
    simulation.RunFor(work::duration(100));
    cr_assert(simulation.IsAnswered(call, work::answer_kind::kWaiting));
    return simulation.CallOf(call).answer->waiting;
  }

  // Whether the job is shown as waiting, by its state and by the count.
  void ExpectWaiting(bool waiting) {
    simulation.RunFor(kCountAge);
    cr_assert_eq(Waiting(), waiting ? 1U : 0U);
    cr_assert(simulation.PhaseOf(kJob) ==
              (waiting ? work::job_phase::kQueued : work::job_phase::kRunning));
  }

  void ReplaceLeader() {
    const std::uint32_t killed = Leader();
    simulation.Kill(killed);
    simulation.store().refused.clear();
    AwaitSuccessorOf(killed);
  }
};

}  // namespace

// Guards against a count of waiting jobs that leaves out jobs of which no
// worker has answered a start.
Test(job, placed_on_workers_that_are_cut_off_counts_as_waiting) {
  job_start_fixture fixture;
  fixture.SetWorkersCut(true);
  fixture.Submit();
  cr_assert(!fixture.LinesOf("unit_placed").empty());
  fixture.ExpectWaiting(true);
  fixture.simulation.RunFor(kStartsGivenUp - kCountAge);
  cr_assert_eq(fixture.simulation.starts(), 0U);
  fixture.ExpectWaiting(true);
  fixture.SetWorkersCut(false);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
}

// Guards against the same when workers refuse the start.
Test(job, whose_starts_are_rejected_counts_as_waiting) {
  job_start_fixture fixture;
  fixture.ForWorkers([](tests::simulated_worker& each) {
    each.refuses_starts_with = work::order_outcome::kNoRoom;
  });
  fixture.Submit();
  cr_assert(!fixture.LinesOf("start_rejected").empty());
  fixture.ExpectWaiting(true);
}

// Guards against a job that runs and is shown as queued.
Test(job, whose_start_is_answered_counts_as_begun) {
  job_start_fixture fixture;
  fixture.Submit();
  cr_assert_eq(fixture.simulation.starts(), 2U);
  fixture.ExpectWaiting(false);
}

// Guards against the same when the answers to its starts are lost, so that only
// the workers' listings show that it runs.
Test(job, whose_starts_are_carried_out_without_answer_counts_as_begun) {
  job_start_fixture fixture;
  fixture.ForWorkers([](tests::simulated_worker& each) {
    each.lose_order_answers = kManyOrders;
  });
  fixture.Submit();
  fixture.ExpectWaiting(false);
}

// Guards against a job that is queued again after it has begun.
Test(job, whose_first_run_is_lost_with_its_workers_stays_begun) {
  job_start_fixture fixture;
  fixture.Submit();
  fixture.ExpectWaiting(false);
  fixture.ForWorkers([](tests::simulated_worker& each) { each.Crash(); });
  fixture.simulation.RunFor(work::duration(12000));
  fixture.ExpectWaiting(false);
  fixture.ReplaceLeader();
  fixture.ExpectWaiting(false);
}

// Guards against a new leader that takes a unit's placing for its start.
Test(job, placed_by_an_earlier_leader_on_cut_off_workers_counts_as_waiting) {
  job_start_fixture fixture;
  fixture.SetWorkersCut(true);
  fixture.Submit();
  fixture.ReplaceLeader();
  fixture.simulation.RunFor(work::duration(1000));
  cr_assert_eq(fixture.simulation.starts(), 0U);
  fixture.ExpectWaiting(true);
}

// Guards against a job that runs and is shown as queued, as its leader was lost
// with the record that it has begun.
Test(job, started_by_an_earlier_leader_without_record_counts_as_begun) {
  job_start_fixture fixture;
  fixture.SetWorkersCut(true);
  fixture.Submit();
  fixture.simulation.store().refused = {work::feed::kRecords};
  fixture.SetWorkersCut(false);
  cr_assert(fixture.Runs(kJob, work::duration(5000)));
  fixture.simulation.RunFor(work::duration(200));
  cr_assert(fixture.simulation.PhaseOf(kJob) == work::job_phase::kQueued);
  fixture.ReplaceLeader();
  fixture.ExpectWaiting(false);
}
