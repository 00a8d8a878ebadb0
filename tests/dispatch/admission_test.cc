// Workers that a leader admits before it starts anything there, and what their
// records tell its successor.

#include <algorithm>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kElectionTime;
using tests::kJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kWorkers = 2;
constexpr work::duration kHeartbeatInterval{1500};
constexpr work::duration kTaskDuration{12000};

struct admission_fixture : simulation_fixture {
  admission_fixture()
      : simulation_fixture(
            {.workers = kWorkers, .task_duration = kTaskDuration}) {}

  std::ptrdiff_t WorkerRecords() {
    return std::ranges::count_if(
        simulation.store().Newest({.source = work::feed::kUnits}).items,
        [](const work::feed_item& each) {
          return each.key.starts_with("worker/");
        });
  }

  // Kills all entries and starts them again.
  void RestartEntries() {
    for (std::uint32_t i = 0; i < 3; ++i)
      simulation.Kill(i);
    for (std::uint32_t i = 0; i < 3; ++i)
      simulation.Start(i);
  }

  bool IsLeaderElectedAfter(std::uint32_t previous) {
    return simulation.RunUntil(
        [&] {
          const auto leader = simulation.Leader();
          return leader && *leader != previous;
        },
        work::duration(4000));
  }
};

}  // namespace

// Guards against a start that nobody knows of on a worker that nobody knows of.
Test(worker, whose_record_is_not_stored_yet_is_given_no_start) {
  admission_fixture fixture;
  auto& simulation = fixture.simulation;
  for (std::uint32_t i = 0; i < kWorkers; ++i)
    simulation.Drain(i, work::duration(300));
  cr_assert(simulation.RunUntil([&] { return fixture.WorkerRecords() == 0; },
                                work::duration(8000)));
  simulation.store().refused = {work::feed::kUnits};
  simulation.worker(0).draining = false;
  simulation.worker(0).leaves_at.reset();
  simulation.worker(0).Restart(simulation.now());
  simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  simulation.RunFor(work::duration(4000));
  cr_assert_eq(simulation.starts(), 0U);
  simulation.store().refused.clear();
  cr_assert(fixture.Runs(kJob, work::duration(1500)));
}

// Guards against records of workers that have left, each of which would make
// every later leader wait.
Test(successor, of_a_leader_whose_idle_worker_has_left_starts_units_at_once) {
  admission_fixture fixture;
  auto& simulation = fixture.simulation;
  cr_assert_eq(fixture.WorkerRecords(), 2);
  simulation.Drain(0, work::duration(300));
  simulation.RunFor(3 * kHeartbeatInterval + work::duration(1000));
  cr_assert_eq(fixture.WorkerRecords(), 1);
  const std::uint32_t first = fixture.Leader();
  simulation.entry(first).cut_from_workers = true;
  simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  simulation.RunFor(work::duration(300));
  simulation.Kill(first);
  cr_assert(fixture.IsLeaderElectedAfter(first));
  cr_assert(fixture.Runs(kJob, work::duration(700)));
}

// Guards against running a task twice at a time when all entries are lost with
// the record of its start and its worker is not registered any more.
Test(entries, all_lost_with_the_record_of_a_start_start_its_task_once) {
  admission_fixture fixture;
  auto& simulation = fixture.simulation;
  simulation.worker(0).cut_from_store = true;
  simulation.worker(1).cut_from_store = true;
  simulation.RunFor(2 * kHeartbeatInterval);
  simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  while (fixture.LinesOf(std::string("job_added ") + kJob).empty())
    simulation.RunFor(work::duration(1));
  simulation.store().refused = {work::feed::kUnits};
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
  simulation.RunFor(2 * kHeartbeatInterval);
  simulation.store().refused.clear();
  fixture.RestartEntries();
  const bool first_runs = !simulation.worker(0).running().empty();
  // The other worker is there at once; the one that runs the task returns
  // later.
  simulation.worker(first_runs ? 1 : 0).cut_from_store = false;
  simulation.RunFor(kElectionTime + 2 * kHeartbeatInterval);
  simulation.worker(first_runs ? 0 : 1).cut_from_store = false;
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}
