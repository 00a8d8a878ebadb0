// Tasks that slow each other down on one worker: they are found by their
// progress and kept apart where there is room.

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

#include "dispatch/simulation_fixture.h"

namespace policy = parsleyhitch::policy;
namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulated_worker;
using tests::simulation_fixture;

namespace {

constexpr std::uint32_t kWorkers = 6;
constexpr std::uint32_t kAccelerators = 8;
constexpr std::uint32_t kLearningSeconds = 90;
constexpr work::duration kTaskDuration{3000};

// Jobs of two images that are submitted again and again. The first letter of a
// job's ID tells the image that it runs.
struct load_fixture : simulation_fixture {
  explicit load_fixture(std::uint32_t weight_permille = 1000,
                        const decltype(tests::simulation_options::cost_of)&
                            cost_of = tests::simulation_options().cost_of)
      : simulation_fixture({.workers = kWorkers,
                            .workers_per_rack = kWorkers,
                            .task_duration = kTaskDuration,
                            .interference_weight_permille = weight_permille,
                            .cost_of = cost_of}) {}

  static bool RunsImage(const simulated_worker& worker, char image) {
    for (const auto& [task, run] : worker.running()) {
      if (task.job.value().front() == image)
        return true;
    }
    return false;
  }

  // Tasks of jobs `a` take longer beside those of jobs `b`.
  void SlowDownBeside(std::uint32_t permille) {
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      simulation.worker(i).slowdown_of = [permille](
                                             const work::task_id& task,
                                             const simulated_worker& worker) {
        const bool slowed =
            task.job.value().front() == 'a' && RunsImage(worker, 'b');
        return slowed ? permille : 1000U;
      };
    }
  }

  static work::step_spec StepOf(const std::string& image,
                                std::uint32_t tasks,
                                std::int64_t accelerators = 1,
                                std::vector<std::uint32_t> after = {},
                                const std::string& data_rack = "") {
    return {.tasks = tasks,
            .need = {.cpu_millis = 1000,
                     .memory_mb = 1024,
                     .accelerators = accelerators},
            // Off by a quarter.
            .estimate = work::duration(2250),
            .after = std::move(after),
            .data_rack = work::rack_id(data_rack),
            .image = image};
  }

  std::string NextJob(char image) {
    std::array<char, 20> id{};
    std::snprintf(id.data(), id.size(), "%c%015u", image, ++jobs);
    return id.data();
  }

  void SubmitLoad(char image,
                  const std::string& name,
                  const std::string& queue = "normal") {
    simulation.Submit(Follower(), NextJob(image),
                      {StepOf(name, 6, 1, {}, data_rack)}, queue);
  }

  // A load of which jobs `b` are a part every other six seconds.
  void RunLoad(std::uint32_t seconds,
               const std::string& a_image = "encode",
               const std::string& b_image = "shuffle",
               const std::string& b_queue = "normal") {
    for (std::uint32_t i = 0; i < seconds; ++i) {
      SubmitLoad('a', a_image);
      if (i / 6 % 2 == 1)
        SubmitLoad('b', b_image, b_queue);
      simulation.RunFor(work::duration(1000));
    }
  }

  // Until nothing runs any more, and the leader has read of it.
  void Drain() {
    cr_assert(simulation.RunUntil(
        [&] {
          for (std::uint32_t i = 0; i < kWorkers; ++i) {
            if (!simulation.worker(i).running().empty())
              return false;
          }
          return true;
        },
        work::duration(20000)));
    simulation.RunFor(work::duration(1000));
  }

  void Learn() {
    SlowDownBeside(2500);
    RunLoad(kLearningSeconds);
    cr_assert_eq(Known().size(), 1U);
    Drain();
  }

  const std::map<policy::image_pair, policy::known_pair>& Known() {
    return simulation.entry(Leader()).state.leader.observed.interference.known;
  }

  std::uint32_t jobs = 0;
  // Of the data of all jobs of the load.
  std::string data_rack;
};

}  // namespace

Test(interference, of_two_images_is_found_by_progress_and_logged) {
  load_fixture fixture;
  fixture.Learn();
  const auto& [pair, state] = *fixture.Known().begin();
  cr_assert_eq(pair.slowed, "encode");
  cr_assert_eq(pair.beside, "shuffle");
  cr_assert_gt(state.slowdown_permille, 1500U);
  const auto lines = fixture.LinesOf("interference_found");
  cr_assert_eq(lines.size(), 1U);
  cr_assert_neq(lines.front().find("shuffle"), std::string::npos);
  cr_assert_eq(fixture.Violation(), "");
}

// Guards against deployments whose callers name no images and get nothing from
// this.
Test(interference, of_jobs_without_images_is_found_by_their_queues) {
  load_fixture fixture;
  fixture.SlowDownBeside(2500);
  fixture.RunLoad(kLearningSeconds, "", "", "background");
  cr_assert_eq(fixture.Known().size(), 1U);
  const auto& pair = fixture.Known().begin()->first;
  cr_assert_eq(pair.slowed, "normal#0");
  cr_assert_eq(pair.beside, "background#0");
}

Test(task, whose_image_interferes_is_placed_apart_where_there_is_room) {
  load_fixture fixture;
  fixture.Learn();
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {load_fixture::StepOf("encode", 1)});
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
  fixture.simulation.Submit(fixture.Follower(), kOtherJob,
                            {load_fixture::StepOf("shuffle", 1)});
  cr_assert(fixture.Runs(kOtherJob, work::duration(1000)));
  cr_assert_neq(fixture.WorkerOf(kJob).id.value(),
                fixture.WorkerOf(kOtherJob).id.value());
}

// Guards against tasks that are placed by one pass and do not know of each
// other.
Test(task, whose_image_interferes_is_placed_apart_by_the_same_pass) {
  load_fixture fixture;
  fixture.Learn();
  fixture.simulation.Submit(
      fixture.Follower(), kJob,
      {load_fixture::StepOf("encode", 1), load_fixture::StepOf("shuffle", 1)});
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
  fixture.simulation.RunFor(work::duration(200));
  std::uint32_t used = 0;
  for (std::uint32_t i = 0; i < kWorkers; ++i)
    used += fixture.simulation.worker(i).running().empty() ? 0 : 1;
  cr_assert_eq(used, 2U);
}

// Guards against a unit that waits, or stops another one, to be kept apart.
Test(task, whose_image_interferes_is_placed_beside_where_no_other_room_is) {
  load_fixture fixture;
  fixture.Learn();
  fixture.simulation.Submit(
      fixture.Follower(), "c0000000000000c3",
      {load_fixture::StepOf("other", kWorkers - 1, kAccelerators)});
  cr_assert(fixture.Runs("c0000000000000c3", work::duration(1000)));
  const std::uint64_t stops = fixture.simulation.stops();
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {load_fixture::StepOf("encode", 1)});
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
  fixture.simulation.Submit(fixture.Follower(), kOtherJob,
                            {load_fixture::StepOf("shuffle", 1)}, "urgent");
  cr_assert(fixture.Runs(kOtherJob, work::duration(500)));
  cr_assert_eq(fixture.WorkerOf(kJob).id.value(),
               fixture.WorkerOf(kOtherJob).id.value());
  cr_assert_eq(fixture.simulation.stops(), stops);
}

Test(task, of_images_that_do_not_interfere_is_placed_where_it_fits_tightest) {
  load_fixture fixture;
  fixture.Learn();
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {load_fixture::StepOf("encode", 1)});
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
  fixture.simulation.Submit(fixture.Follower(), kOtherJob,
                            {load_fixture::StepOf("other", 1)});
  cr_assert(fixture.Runs(kOtherJob, work::duration(1000)));
  cr_assert_eq(fixture.WorkerOf(kJob).id.value(),
               fixture.WorkerOf(kOtherJob).id.value());
}

// Guards against a worker that is slow for other reasons and is taken for one
// on which tasks interfere.
Test(interference, on_slow_workers_is_not_found) {
  load_fixture fixture;
  for (std::uint32_t i = 0; i < 2; ++i) {
    fixture.simulation.worker(i).slowdown_of =
        [](const work::task_id&, const tests::simulated_worker&) {
          return 2500U;
        };
  }
  fixture.RunLoad(2 * kLearningSeconds);
  cr_assert(fixture.LinesOf("interference_found").empty());
}

// Guards against tasks that are slow away from their data, and are taken for
// slowed down by others.
Test(interference, of_tasks_away_from_their_data_is_not_learned) {
  load_fixture fixture;
  fixture.data_rack = "r-elsewhere";
  fixture.SlowDownBeside(2500);
  fixture.RunLoad(kLearningSeconds);
  cr_assert(fixture.LinesOf("interference_found").empty());
}

Test(interference, of_two_images_is_found_while_workers_restart) {
  load_fixture fixture;
  fixture.SlowDownBeside(2500);
  for (std::uint32_t i = 0; i < kWorkers; ++i) {
    fixture.RunLoad(kLearningSeconds / kWorkers);
    fixture.simulation.worker(i).Restart(fixture.simulation.now());
  }
  cr_assert_eq(fixture.Known().size(), 1U);
  cr_assert_eq(fixture.Violation(), "");
}

Test(task, whose_image_interferes_is_placed_apart_while_the_store_is_away) {
  load_fixture fixture;
  fixture.Learn();
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {load_fixture::StepOf("other", 1),
                             load_fixture::StepOf("encode", 1, 1, {0}),
                             load_fixture::StepOf("shuffle", 1, 1, {0})});
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
  fixture.simulation.store().down = true;
  const auto running_on = [&] {
    std::vector<std::size_t> tasks;
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      if (!fixture.simulation.worker(i).running().empty())
        tasks.push_back(fixture.simulation.worker(i).running().size());
    }
    return tasks;
  };
  // Workers whose ends can't be stored are asked less often.
  cr_assert(fixture.simulation.RunUntil(
      [&] {
        return running_on() == std::vector<std::size_t>{1, 1};
      },
      kTaskDuration + work::duration(1500)));
}

Test(successor, starts_with_no_pair_and_learns_it_again) {
  load_fixture fixture;
  fixture.SlowDownBeside(2500);
  fixture.RunLoad(kLearningSeconds);
  cr_assert_eq(fixture.Known().size(), 1U);
  const std::uint32_t former = fixture.Leader();
  fixture.simulation.Kill(former);
  fixture.AwaitSuccessorOf(former);
  cr_assert(fixture.Known().empty());
  fixture.simulation.Start(former);
  fixture.RunLoad(kLearningSeconds);
  cr_assert_eq(fixture.Known().size(), 1U);
  cr_assert_eq(fixture.Violation(), "");
}

// Guards against metrics by which operators do not see that this works.
Test(interference, that_changes_a_placement_is_counted) {
  std::uint64_t changed = 0;
  std::uint64_t most_known = 0;
  load_fixture fixture(
      1000, [&](const work::event&, const work::effects& effects) {
        for (const work::effect& each : effects) {
          const auto* count = std::get_if<work::count_metric>(&each);
          if (count != nullptr && count->name == "interference_placements")
            changed += count->increment;
          const auto* gauge = std::get_if<work::set_gauge>(&each);
          if (gauge != nullptr && gauge->name == "load_interfering_pairs")
            most_known = std::max(most_known, gauge->value);
        }
        return std::chrono::microseconds(0);
      });
  fixture.Learn();
  cr_assert_eq(most_known, 1U);
  const std::uint64_t before = changed;
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {load_fixture::StepOf("encode", 1)});
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
  cr_assert_eq(changed, before);
  fixture.simulation.Submit(fixture.Follower(), kOtherJob,
                            {load_fixture::StepOf("shuffle", 1)});
  cr_assert(fixture.Runs(kOtherJob, work::duration(1000)));
  cr_assert_eq(changed, before + 1);
}

// Guards against a switch that leaves parts of the learning in use.
Test(interference, that_the_settings_turn_off_is_not_learned) {
  load_fixture fixture(0);
  fixture.SlowDownBeside(2500);
  fixture.RunLoad(kLearningSeconds);
  cr_assert(fixture.simulation.entry(fixture.Leader())
                .state.leader.observed.interference ==
            parsleyhitch::policy::interference());
}
