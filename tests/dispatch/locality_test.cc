// Units whose rack is full, while there is room on others, where they take
// several times as long.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kWorkersPerRack = 3;
constexpr std::uint32_t kRacks = 4;
constexpr work::duration kShortRun{4000};

// Most workers are busy, with tasks that run as long as estimated.
struct busy_racks_fixture : simulation_fixture {
  // `busy[i]` workers of rack i are.
  busy_racks_fixture(work::duration run_time,
                     const std::vector<std::uint32_t>& busy,
                     const std::string& queue)
      : simulation_fixture({.workers = kRacks * kWorkersPerRack,
                            .workers_per_rack = kWorkersPerRack,
                            .task_duration = run_time}) {
    std::vector<work::step_spec> steps;
    std::uint32_t all = 0;
    for (std::uint32_t i = 0; i < busy.size(); ++i) {
      if (busy[i] > 0)
        steps.push_back(Near(i, busy[i], run_time));
      all += busy[i];
    }
    simulation.Submit(Follower(), kOtherJob, steps, queue);
    cr_assert(simulation.RunUntil([&] { return simulation.starts() == all; },
                                  work::duration(3000)));
  }

  // A step of tasks that fill a worker each, with its data on the rack.
  static work::step_spec Near(std::uint32_t rack,
                              std::uint32_t count,
                              work::duration estimate) {
    return {.tasks = count,
            .need = Step(count, 8).need,
            .estimate = estimate,
            .data_rack = work::rack_id("r-" + std::to_string(rack))};
  }

  std::size_t TasksOf(const std::string& job) {
    std::size_t count = 0;
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      for (const auto& [task, run] : simulation.worker(i).running())
        count += task.job.value() == job ? 1 : 0;
    }
    return count;
  }

  std::set<std::string> RacksOf(const std::string& job) {
    std::set<std::string> racks;
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      for (const auto& [task, run] : simulation.worker(i).running()) {
        if (task.job.value() == job)
          racks.insert(simulation.worker(i).rack.value());
      }
    }
    return racks;
  }
};

}  // namespace

// Load: a peak, in which units ran away from their data once half of their
// slack was over, although there was room near soon.
Test(unit, whose_rack_has_room_soon_waits_for_it) {
  busy_racks_fixture fixture(kShortRun, {3, 3, 2, 0}, "normal");
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {busy_racks_fixture::Near(0, 1, kShortRun)});
  cr_assert(fixture.Runs(kJob, work::duration(8000)));
  cr_assert(fixture.RacksOf(kJob) == std::set<std::string>{"r-0"});
}

Test(unit, whose_rack_is_full_for_long_runs_elsewhere_at_once) {
  busy_racks_fixture fixture(std::chrono::minutes(1), {3, 3, 2, 0}, "normal");
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {busy_racks_fixture::Near(0, 1, kShortRun)});
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
  cr_assert(fixture.RacksOf(kJob) != std::set<std::string>{"r-0"});
}

// Guards against units that all wait for the same room.
Test(units, that_would_wait_for_each_other_run_elsewhere) {
  busy_racks_fixture fixture(kShortRun, {3, 3, 2, 0}, "normal");
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {busy_racks_fixture::Near(0, 5, kShortRun)});
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
}

Test(gang, that_needs_one_rack_waits_for_one_that_has_room_soon) {
  busy_racks_fixture fixture(kShortRun, {2, 2, 2, 2}, "normal");
  const work::step_spec step = Step(3, 8);
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {{.tasks = step.tasks,
                              .need = step.need,
                              .estimate = kShortRun,
                              .gang = true,
                              .same_rack = true}});
  cr_assert(fixture.Runs(kJob, work::duration(8000)));
  cr_assert_eq(fixture.RacksOf(kJob).size(), 1U);
}

// Guards against urgent units that run elsewhere for three times as long rather
// than preempt others near.
Test(unit, that_is_urgent_preempts_others_near_its_data) {
  busy_racks_fixture fixture(std::chrono::minutes(1), {3, 3, 2, 0},
                             "background");
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {busy_racks_fixture::Near(0, 1, kShortRun)},
                            "urgent");
  cr_assert(fixture.Runs(kJob, work::duration(1500)));
  cr_assert(fixture.RacksOf(kJob) == std::set<std::string>{"r-0"});
}

// Load: a workspace claims its guarantee for two tasks near data, while what is
// in their way there does not stop.
Test(unit, that_is_guaranteed_begins_elsewhere_in_time) {
  busy_racks_fixture fixture(std::chrono::minutes(1), {3, 3, 2, 0},
                             "background");
  for (std::uint32_t i = 0; i < kWorkersPerRack; ++i)
    fixture.simulation.worker(i).refuses_stops_with =
        work::order_outcome::kUnknown;
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {busy_racks_fixture::Near(0, 2, kShortRun)},
                            "urgent");
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.TasksOf(kJob) == 2; }, work::duration(2700)));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against a successor that knows of no room near and runs everything
// elsewhere.
Test(successor, of_a_leader_has_units_wait_for_room_near) {
  busy_racks_fixture fixture(work::duration(10000), {3, 3, 2, 0}, "normal");
  const std::uint32_t former = fixture.Leader();
  fixture.simulation.Kill(former);
  fixture.AwaitSuccessorOf(former);
  fixture.simulation.RunFor(work::duration(2000));
  fixture.simulation.Submit(
      fixture.Leader(), kJob,
      {busy_racks_fixture::Near(0, 1, work::duration(10000))});
  cr_assert(fixture.Runs(kJob, work::duration(15000)));
  cr_assert(fixture.RacksOf(kJob) == std::set<std::string>{"r-0"});
}

Test(unit, whose_rack_is_lost_runs_elsewhere) {
  busy_racks_fixture fixture(std::chrono::minutes(1), {0, 3, 3, 1}, "normal");
  for (std::uint32_t i = 0; i < kWorkersPerRack; ++i)
    fixture.simulation.worker(i).Crash();
  fixture.simulation.RunFor(work::duration(10000));
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {busy_racks_fixture::Near(0, 1, kShortRun)});
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
}
