// Workers of one service that differ in speed, turn slow, or hang.

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "dispatch/simulation_fixture.h"

namespace dispatch = parsleyhitch::dispatch;
namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kWorkers = 8;
constexpr std::uint32_t kUneven = 5;
constexpr work::duration kRunTime{4000};

// Workers with room for two tasks each, which run for four seconds at the usual
// speed, as estimated.
struct uneven_fixture : simulation_fixture {
  explicit uneven_fixture(double speed)
      : simulation_fixture({.workers = kWorkers,
                            .workers_per_rack = 4,
                            .task_duration = kRunTime}) {
    simulation.worker(kUneven).speed = speed;
  }

  static work::step_spec Tasks(std::uint32_t count,
                               std::int64_t accelerators = 4) {
    const work::step_spec step = Step(count, accelerators);
    return {.tasks = count, .need = step.need, .estimate = kRunTime};
  }

  void Submit(const std::string& job,
              const work::step_spec& step,
              const std::string& queue = "background") {
    simulation.Submit(Follower(), job, {step}, queue);
  }

  // Keeps every worker busy until the speeds are known.
  void Learn(const std::string& job = kOtherJob) {
    Submit(job, Tasks(kWorkers * 2 * 4));
    cr_assert(Ends(job, work::job_phase::kCompleted, std::chrono::minutes(3)));
  }

  const dispatch::observations& Observed() {
    return simulation.entry(Leader()).state.leader.observed;
  }

  bool RunsOn(std::uint32_t worker, const std::string& job) {
    const auto& running = simulation.worker(worker).running();
    return std::ranges::any_of(running, [&](const auto& each) {
      return each.first.job.value() == job;
    });
  }
};

}  // namespace

// Load: a worker of 1.5 times the usual speed.
Test(unit, that_is_urgent_starts_on_the_fastest_worker) {
  uneven_fixture fixture(1.5);
  fixture.Learn();
  fixture.Submit(kJob, uneven_fixture::Tasks(1), "urgent");
  cr_assert(fixture.Runs(kJob, work::duration(2000)));
  cr_assert(fixture.RunsOn(kUneven, kJob));
}

Test(unit, in_the_background_leaves_the_fastest_worker_free) {
  uneven_fixture fixture(1.5);
  fixture.Learn();
  fixture.Submit(kJob, uneven_fixture::Tasks(1));
  cr_assert(fixture.Runs(kJob, work::duration(2000)));
  cr_assert_not(fixture.RunsOn(kUneven, kJob));
}

// Guards against placement that changes although all workers are equal.
Test(unit, on_equal_workers_starts_on_the_first_one) {
  uneven_fixture fixture(1.0);
  fixture.Learn();
  fixture.Submit(kJob, uneven_fixture::Tasks(1), "urgent");
  cr_assert(fixture.Runs(kJob, work::duration(2000)));
  cr_assert(fixture.RunsOn(0, kJob));
}

// Load: a worker of a sixth of the usual speed.
Test(worker, that_turns_slow_gets_no_work_while_others_are_free) {
  uneven_fixture fixture(0.16);
  fixture.Submit(kOtherJob, uneven_fixture::Tasks(kWorkers * 2 * 4));
  cr_assert(fixture.simulation.RunUntil(
      [&] { return !fixture.LinesOf("worker_slow").empty(); },
      std::chrono::minutes(1)));
  cr_assert(fixture.Ends(kOtherJob, work::job_phase::kCompleted));
  fixture.Submit(kJob, uneven_fixture::Tasks((kWorkers - 1) * 2));
  cr_assert(fixture.Runs(kJob, work::duration(2000)));
  fixture.simulation.RunFor(work::duration(1000));
  cr_assert_not(fixture.RunsOn(kUneven, kJob));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Load: a worker answers, but its tasks stand still. Without moves the job
// would never end.
Test(unit, on_a_worker_whose_tasks_stand_still_is_moved) {
  uneven_fixture fixture(0);
  fixture.Submit(kJob, uneven_fixture::Tasks(kWorkers * 2 * 2));
  cr_assert(
      fixture.Ends(kJob, work::job_phase::kCompleted, std::chrono::minutes(1)));
  cr_assert_not(fixture.LinesOf("worker_slow").empty());
  cr_assert_not(fixture.LinesOf("unit_moved").empty());
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

Test(unit, that_is_urgent_and_on_a_worker_that_hangs_is_moved) {
  uneven_fixture fixture(1);
  fixture.Learn();
  fixture.Submit(kOtherJob, uneven_fixture::Tasks(kWorkers));
  fixture.Submit(kJob, uneven_fixture::Tasks(1), "urgent");
  cr_assert(fixture.Runs(kJob, work::duration(2000)));
  fixture.Submit("00000000000000c3", uneven_fixture::Tasks(kWorkers));
  fixture.WorkerOf(kJob).speed = 0;
  cr_assert(
      fixture.Ends(kJob, work::job_phase::kCompleted, work::duration(30000)));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against endless tasks, which show no progress, that are taken for
// hung ones or lose their work.
Test(endless_task, on_a_worker_that_hangs_is_not_moved) {
  uneven_fixture fixture(1);
  const work::step_spec step = Step(kWorkers, 4);
  fixture.Submit(kOtherJob, {.tasks = kWorkers,
                             .need = step.need,
                             .estimate = kRunTime,
                             .endless = true});
  cr_assert(fixture.Runs(kOtherJob, work::duration(3000)));
  std::uint32_t holder = 0;
  while (!fixture.RunsOn(holder, kOtherJob))
    ++holder;
  fixture.simulation.worker(holder).speed = 0;
  fixture.Submit(kJob, uneven_fixture::Tasks(kWorkers * 2, 2));
  cr_assert(
      fixture.Ends(kJob, work::job_phase::kCompleted, std::chrono::minutes(1)));
  cr_assert(fixture.RunsOn(holder, kOtherJob));
  cr_assert(std::ranges::none_of(
      fixture.LinesOf("unit_moved"), [](const std::string& line) {
        return line.find(kOtherJob) != std::string::npos;
      }));
}

// Guards against a worker that counts as hung as its listings stop.
Test(worker, that_is_cut_off_does_not_count_as_hung) {
  uneven_fixture fixture(1);
  fixture.Submit(kJob, uneven_fixture::Tasks(kWorkers * 2 * 2));
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
  fixture.simulation.worker(kUneven).cut = true;
  cr_assert(
      fixture.Ends(kJob, work::job_phase::kCompleted, std::chrono::minutes(1)));
  cr_assert(fixture.LinesOf("worker_slow").empty());
}

// Guards against members that wait for the slowest one of their gang and make
// their workers count as slow.
Test(gang, shows_no_speed_of_its_workers) {
  uneven_fixture fixture(0.3);
  const work::step_spec step = Step(kWorkers, 8, true);
  fixture.Submit(kJob, {.tasks = kWorkers,
                        .need = step.need,
                        .estimate = kRunTime,
                        .gang = true});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Observed().speeds.workers.empty());
}

// Guards against tasks that run three times as long as they are away from their
// data, and make their workers count as slow.
Test(task, away_from_its_data_shows_no_speed_of_its_worker) {
  uneven_fixture fixture(1);
  const work::step_spec near = uneven_fixture::Tasks(kWorkers * 2);
  fixture.Submit(kJob, {.tasks = near.tasks,
                        .need = near.need,
                        .estimate = near.estimate,
                        .data_rack = work::rack_id("r-9")});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Observed().speeds.workers.empty());
}

Test(worker, restarted_is_not_slow_any_more) {
  uneven_fixture fixture(0.16);
  fixture.Submit(kOtherJob, uneven_fixture::Tasks(kWorkers * 2 * 4));
  cr_assert(fixture.simulation.RunUntil(
      [&] { return !fixture.LinesOf("worker_slow").empty(); },
      std::chrono::minutes(1)));
  fixture.simulation.worker(kUneven).speed = 1;
  fixture.simulation.worker(kUneven).Restart(fixture.simulation.now());
  cr_assert(fixture.simulation.RunUntil(
      [&] { return !fixture.LinesOf("worker_usual").empty(); },
      work::duration(5000)));
}

// Guards against a successor that never finds a worker that hung before it led.
Test(successor, of_a_leader_finds_a_worker_that_hangs) {
  uneven_fixture fixture(1);
  fixture.Submit(kJob, uneven_fixture::Tasks(kWorkers * 2 * 3));
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
  fixture.simulation.worker(kUneven).speed = 0;
  const std::uint32_t former = fixture.Leader();
  fixture.simulation.Kill(former);
  fixture.AwaitSuccessorOf(former);
  cr_assert(
      fixture.Ends(kJob, work::job_phase::kCompleted, std::chrono::minutes(1)));
  cr_assert_not(fixture.LinesOf("unit_moved").empty());
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against moves that need the store.
Test(unit, on_a_worker_that_hangs_is_moved_while_the_store_is_away) {
  uneven_fixture fixture(1);
  fixture.Submit(kJob, uneven_fixture::Tasks(kWorkers * 2 * 2));
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
  fixture.simulation.store().down = true;
  fixture.simulation.worker(kUneven).speed = 0;
  cr_assert(fixture.simulation.RunUntil(
      [&] { return !fixture.LinesOf("unit_moved").empty(); },
      work::duration(20000)));
  fixture.simulation.store().down = false;
  cr_assert(
      fixture.Ends(kJob, work::job_phase::kCompleted, std::chrono::minutes(1)));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against a task that counts as moved although its worker goes on with
// it, and runs twice.
Test(unit, on_a_worker_that_hangs_and_refuses_stops_is_not_started_elsewhere) {
  uneven_fixture fixture(0);
  fixture.simulation.worker(kUneven).refuses_stops_with =
      work::order_outcome::kUnknown;
  fixture.Submit(kJob, uneven_fixture::Tasks(kWorkers * 2));
  cr_assert(fixture.simulation.RunUntil(
      [&] { return !fixture.LinesOf("unit_moved").empty(); },
      work::duration(30000)));
  fixture.simulation.RunFor(work::duration(10000));
  cr_assert(fixture.RunsOn(kUneven, kJob));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}
