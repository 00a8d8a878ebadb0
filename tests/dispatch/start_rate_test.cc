// How fast the leader starts tasks.

#include <algorithm>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kTasks = 1000;

// A job with many tasks has just begun; all of them have room.
struct starting_fixture : simulation_fixture {
  starting_fixture()
      : simulation_fixture({.workers = 40,
                            .cpu_millis = 500,
                            .task_duration = work::duration(10000)}) {
    simulation.Submit(Follower(), kJob, {Step(kTasks, 0)});
    cr_assert(Runs(kJob, work::duration(1000)));
  }
};

}  // namespace

// Guards against a leader that floods itself with orders, takes the workers for
// silent when it comes late to their answers, and starts their work elsewhere.
Test(leader, with_half_a_core_starts_a_thousand_tasks_a_second_at_most) {
  starting_fixture fixture;
  fixture.simulation.RunFor(work::duration(300));
  cr_assert_leq(fixture.simulation.starts(), 500U);
  fixture.simulation.RunFor(work::duration(1200));
  cr_assert_eq(fixture.simulation.starts(), kTasks);
}

// Guards against the same, and against connections that are opened for one
// order each: as many orders at once as the worker has tasks.
Test(worker, given_many_tasks_at_once_gets_its_starts_one_after_the_other) {
  constexpr std::uint32_t kTasksOfWorker = 8;
  simulation_fixture fixture({.workers = 1});
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {Step(kTasksOfWorker, 1)});
  std::size_t most = 0;
  cr_assert(fixture.simulation.RunUntil(
      [&] {
        const auto& leader =
            fixture.simulation.entry(fixture.Leader()).state.leader;
        most = std::max(most, leader.orders.size());
        return fixture.simulation.starts() == kTasksOfWorker;
      },
      work::duration(500)));
  cr_assert_eq(most, 1U);
}

// Guards against urgent work that waits behind the starts of other work.
Test(urgent_job, submitted_while_many_tasks_start_begins_at_once) {
  starting_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(2, 8)},
                            "urgent");
  cr_assert(fixture.Runs(kOtherJob, work::duration(400)));
  cr_assert_lt(fixture.simulation.starts(), kTasks);
}

// Guards against a worker that is ordered a start 50 times a second while it
// rejects all of them.
Test(worker, rejecting_every_start_is_asked_less_and_less_often) {
  simulation_fixture fixture({.workers = 1});
  fixture.simulation.worker(0).refuses_starts_with =
      work::order_outcome::kRefused;
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 1)});
  fixture.simulation.RunFor(work::duration(10000));
  cr_assert_leq(fixture.LinesOf("start_rejected").size(), 10U);
  fixture.simulation.worker(0).refuses_starts_with.reset();
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
}

// Guards against work that waits for a worker long after it accepts starts
// again.
Test(worker, accepting_starts_again_gets_one_within_three_seconds) {
  simulation_fixture fixture({.workers = 1});
  fixture.simulation.worker(0).refuses_starts_with =
      work::order_outcome::kNoRoom;
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 1)});
  fixture.simulation.RunFor(work::duration(10000));
  fixture.simulation.worker(0).refuses_starts_with.reset();
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
}
