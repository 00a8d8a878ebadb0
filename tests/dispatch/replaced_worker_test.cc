// Workers that crash and come back under another ID: their address belongs to
// another process, which refuses orders meant for them, while the registry may
// go on naming them.

#include <algorithm>
#include <string>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kWorkers = 6;
constexpr std::uint32_t kMembers = 4;
constexpr work::duration kTaskDuration{4000};
// Well below the lease, so that a test which waits for its end fails.
constexpr work::duration kAtOnce{3000};

// A gang that takes a whole worker for each member.
struct gang_fixture : simulation_fixture {
  explicit gang_fixture(std::uint32_t workers_per_core = 1000000)
      : simulation_fixture({.workers = kWorkers,
                            .task_duration = kTaskDuration,
                            .workers_per_core = workers_per_core}) {
    simulation.Submit(Follower(), kJob, {Step(kMembers, 8, true)});
    cr_assert(Runs(kJob, kAtOnce));
  }

  void ExpectCompletedInTwoRuns() {
    cr_assert(Ends(kJob, work::job_phase::kCompleted, kAtOnce + kTaskDuration));
    cr_assert(Violation().empty(), "%s", Violation().c_str());
    cr_assert_eq(simulation.starts(), 2 * kMembers);
  }
};

}  // namespace

// Guards against a gang that waits for ever for the end of a member whose
// worker has been replaced by another process.
Test(gang, with_a_worker_replaced_at_its_address_runs_elsewhere_at_once) {
  gang_fixture fixture;
  fixture.WorkerOf(kJob).Replace(fixture.simulation.now());
  fixture.ExpectCompletedInTwoRuns();
}

// Guards against the same when a proxy makes the calls.
Test(gang, with_a_worker_of_a_proxy_replaced_runs_elsewhere_at_once) {
  gang_fixture fixture(kWorkers / 2);
  fixture.WorkerOf(kJob).Replace(fixture.simulation.now());
  fixture.ExpectCompletedInTwoRuns();
}

// Guards against tasks that are started without end on a worker that the
// registry names although another process has its address.
Test(worker, replaced_at_its_address_while_idle_refuses_one_start) {
  simulation_fixture fixture({.workers = kWorkers});
  fixture.simulation.worker(0).Replace(fixture.simulation.now());
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(kWorkers, 8)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  const auto placed = fixture.LinesOf("unit_placed");
  const auto placed_there = std::ranges::count_if(placed, [](const auto& line) {
    return line.find("worker=w-0 ") != std::string::npos;
  });
  cr_assert_eq(placed_there, 1);
}

// Guards against a cancelled job whose tasks are stopped without end on workers
// that have been replaced.
Test(job, cancelled_when_its_workers_were_replaced_is_forgotten) {
  gang_fixture fixture;
  for (std::uint32_t i = 0; i < kWorkers; ++i)
    fixture.simulation.worker(i).Replace(fixture.simulation.now());
  fixture.simulation.Cancel(fixture.Follower(), kJob);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCancelled, kAtOnce));
  const auto forgotten = [&] {
    return fixture.simulation.entry(fixture.Leader()).state.leader.jobs.empty();
  };
  cr_assert(fixture.simulation.RunUntil(forgotten, kAtOnce));
}

// Guards against a successor that waits for a worker's lease although another
// process has its address.
Test(successor, of_a_leader_with_a_replaced_worker_runs_its_gang_at_once) {
  gang_fixture fixture;
  fixture.WorkerOf(kJob).Replace(fixture.simulation.now());
  fixture.simulation.Kill(fixture.Leader());
  fixture.simulation.RunFor(tests::kElectionTime);
  fixture.ExpectCompletedInTwoRuns();
}
