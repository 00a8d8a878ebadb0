// Speeds of workers that are uneven, turn slow or hang, learned from tasks
// whose run times callers estimate badly.

#include "policy/worker_speed.h"

#include <criterion/criterion.h>

#include <cmath>
#include <string>

namespace policy = parsleyhitch::policy;
namespace work = parsleyhitch::work;
using policy::duration;
using policy::timestamp;

namespace {

constexpr std::uint64_t kLife = 7;
constexpr duration kEstimate{6000};

timestamp At(std::int64_t ms) {
  return timestamp(duration(ms));
}

work::worker_id Worker(std::uint32_t index) {
  return work::worker_id("w-" + std::to_string(index));
}

work::unit_id StepNamed(const std::string& job) {
  return {.job = work::job_id(job)};
}

// Eight workers whose tasks are sampled once each.
struct speed_fixture {
  static constexpr std::uint32_t kWorkers = 8;
  policy::learned_speeds learned;
  std::map<work::worker_id, std::uint64_t> lives;
  timestamp now = At(100000);

  speed_fixture() {
    for (std::uint32_t i = 0; i < kWorkers; ++i)
      lives[Worker(i)] = kLife;
  }

  // A task of the job on the worker that runs at this pace, 1 as estimated.
  void Run(std::uint32_t worker, const std::string& job, double pace) {
    learned =
        policy::Learn(std::move(learned), Worker(worker), kLife, StepNamed(job),
                      {.log_speed = std::log(pace), .weight = 1}, now);
  }
  // `rounds` steps with one task on each worker, at the worker's speed times
  // the step's error of the estimate.
  void RunSteps(std::uint32_t rounds, const std::vector<double>& speeds) {
    constexpr double kErrors[] = {0.6, 1.3, 0.8, 1.5, 1.0};
    for (std::uint32_t round = 0; round < rounds; ++round) {
      for (std::uint32_t i = 0; i < kWorkers; ++i)
        Run(i, "job-" + std::to_string(round), speeds[i] * kErrors[round % 5]);
    }
  }
  policy::relative_speed SpeedOf(std::uint32_t worker) const {
    const auto all = policy::RelativeSpeeds(learned, lives, now);
    const auto found = all.find(Worker(worker));
    return found == all.end() ? policy::relative_speed() : found->second;
  }
};

// A task that is listed every 500 ms.
struct task_fixture {
  policy::pace_window window =
      policy::FirstWindow({.at = At(1000), .percent = 0});
  std::vector<policy::pace_sample> samples;

  void Show(std::int64_t ms, std::uint32_t percent) {
    const policy::pace_step next =
        policy::Advance(window, {.at = At(ms), .percent = percent}, kEstimate);
    window = next.window;
    if (next.sample)
      samples.push_back(*next.sample);
  }
};

}  // namespace

// Load: workers of one service with speeds from 0.55 to 1.3.
Test(worker_speed, of_uneven_workers_is_learned_although_estimates_are_off) {
  speed_fixture fixture;
  fixture.RunSteps(8, {1, 1, 1, 1, 1, 1, 1.3, 0.55});
  cr_assert_leq(fixture.SpeedOf(6).run_time_permille, 900U);
  cr_assert_geq(fixture.SpeedOf(7).run_time_permille, 1300U);
  cr_assert_not(fixture.SpeedOf(7).slow);
}

// Guards against a placement that changes with the errors of the estimates.
Test(worker_speed, of_equal_workers_stays_usual_although_estimates_are_off) {
  speed_fixture fixture;
  fixture.RunSteps(8, std::vector<double>(speed_fixture::kWorkers, 1));
  for (std::uint32_t i = 0; i < speed_fixture::kWorkers; ++i) {
    cr_assert_geq(fixture.SpeedOf(i).run_time_permille, 950U);
    cr_assert_leq(fixture.SpeedOf(i).run_time_permille, 1050U);
  }
}

// Load: 3 in 100 tasks run 7 times as long as estimated.
Test(worker_speed, with_one_straggler_among_its_tasks_is_not_slow) {
  speed_fixture fixture;
  fixture.RunSteps(6, std::vector<double>(speed_fixture::kWorkers, 1));
  fixture.Run(2, "job-5", 1.0 / 7);
  cr_assert_not(fixture.SpeedOf(2).slow);
}

// Load: a worker turns slow by 6 times.
Test(worker_speed, of_a_worker_that_turns_slow_is_seen_after_four_tasks) {
  speed_fixture fixture;
  fixture.RunSteps(6, std::vector<double>(speed_fixture::kWorkers, 1));
  fixture.RunSteps(4, {1, 1, 1.0 / 6, 1, 1, 1, 1, 1});
  cr_assert(fixture.SpeedOf(2).slow);
  cr_assert_not(fixture.SpeedOf(3).slow);
}

// Guards against workers that count as slow for ever, as they get no tasks that
// would show that they have recovered.
Test(worker_speed, of_a_slow_worker_is_forgotten_with_time) {
  speed_fixture fixture;
  fixture.RunSteps(4, {1, 1, 1, 1, 1, 1, 1, 0.15});
  cr_assert(fixture.SpeedOf(7).slow);
  fixture.now += std::chrono::minutes(10);
  fixture.RunSteps(1, {1, 1, 1, 1, 1, 1, 1, 1});
  cr_assert_not(fixture.SpeedOf(7).slow);
}

Test(worker_speed, of_a_restarted_worker_is_forgotten) {
  speed_fixture fixture;
  fixture.RunSteps(4, {1, 1, 1, 1, 1, 1, 1, 0.15});
  fixture.lives[Worker(7)] = kLife + 1;
  cr_assert(fixture.SpeedOf(7) == policy::relative_speed());
}

// Guards against a site whose callers all estimate too little.
Test(worker_speed, of_few_known_workers_is_not_compared) {
  speed_fixture fixture;
  for (std::uint32_t i = 0; i < 6; ++i)
    fixture.Run(0, "job-" + std::to_string(i), 0.2);
  cr_assert(fixture.SpeedOf(0) == policy::relative_speed());
}

Test(worker_speed, is_pruned_once_nothing_is_known_any_more) {
  speed_fixture fixture;
  fixture.RunSteps(2, std::vector<double>(speed_fixture::kWorkers, 1));
  const auto later = fixture.now + std::chrono::minutes(10);
  const policy::learned_speeds left = policy::Pruned(fixture.learned, later);
  cr_assert(left == policy::learned_speeds());
}

Test(task_pace, is_sampled_over_a_quarter_of_the_estimate) {
  task_fixture fixture;
  fixture.Show(1500, 8);
  cr_assert(fixture.samples.empty());
  fixture.Show(2500, 25);
  cr_assert_eq(fixture.samples.size(), 1U);
  cr_assert_lt(std::abs(fixture.samples.front().log_speed), 0.01);
}

// Guards against a straggler that counts more than other tasks, as it runs
// longer.
Test(task_pace, of_a_straggler_counts_as_one_task) {
  task_fixture fixture;
  for (std::uint32_t i = 1; i <= 40; ++i)
    fixture.Show(1000 + std::int64_t{i} * 1000, i * 2);
  double weight = 0;
  for (const policy::pace_sample& each : fixture.samples)
    weight += each.weight;
  cr_assert_leq(weight, 1.001);
}

// Load: the tasks of a worker stand still while it answers.
Test(task, without_progress_for_most_of_its_estimate_stands_still) {
  task_fixture fixture;
  fixture.Show(2000, 10);
  fixture.Show(5000, 10);
  cr_assert_not(policy::StandsStill(fixture.window, kEstimate));
  fixture.Show(6000, 10);
  cr_assert(policy::StandsStill(fixture.window, kEstimate));
}

Test(task, that_is_a_straggler_on_a_slow_worker_does_not_stand_still) {
  task_fixture fixture;
  for (std::uint32_t i = 1; i <= 10; ++i) {
    fixture.Show(1000 + std::int64_t{i} * 3360, i);
    cr_assert_not(policy::StandsStill(fixture.window, kEstimate));
  }
}

Test(worker, whose_tasks_all_stand_still_hangs_if_others_progress) {
  std::map<work::worker_id, policy::task_counts> workers;
  workers[Worker(0)] = {.tasks = 2, .standing_still = 2};
  workers[Worker(1)] = {.tasks = 2, .standing_still = 1};
  for (std::uint32_t i = 2; i < 6; ++i)
    workers[Worker(i)] = {.tasks = 3};
  cr_assert(policy::HungWorkers(workers) ==
            std::vector<work::worker_id>{Worker(0)});
}

// Guards against a platform that shows no progress at all.
Test(worker, hangs_never_if_the_tasks_of_most_stand_still) {
  std::map<work::worker_id, policy::task_counts> workers;
  for (std::uint32_t i = 0; i < 6; ++i)
    workers[Worker(i)] = {.tasks = 2, .standing_still = i < 3 ? 2U : 0U};
  cr_assert(policy::HungWorkers(workers).empty());
}

Test(move, of_a_run_that_is_nearly_done_waits_until_little_is_lost) {
  task_fixture fixture;
  fixture.Show(5800, 80);
  fixture.Show(9800, 80);
  const auto worth = [&] {
    return policy::IsWorthMoving(
        {.remaining = policy::RemainingOfStalled(fixture.window, kEstimate),
         .elsewhere = kEstimate + duration(700),
         .until_late = duration(-1)});
  };
  cr_assert_not(worth());
  fixture.Show(19000, 80);
  cr_assert(worth());
}

Test(move, that_saves_the_objective_is_worth_a_small_gain) {
  cr_assert(policy::IsWorthMoving({.remaining = duration(7000),
                                   .elsewhere = duration(6000),
                                   .until_late = duration(6500)}));
  cr_assert_not(policy::IsWorthMoving({.remaining = duration(6000),
                                       .elsewhere = duration(5500),
                                       .until_late = duration(6500)}));
}
