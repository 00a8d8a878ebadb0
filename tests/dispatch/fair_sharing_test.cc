// Workspaces that compete for workers, and large units that small ones would
// pass.

#include <cstdio>
#include <string>
#include <vector>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr char kFlood[] = "flood";
constexpr char kSmall[] = "small";
constexpr work::duration kTaskDuration{3000};
constexpr std::uint32_t kWorkers = 6;

std::string JobName(std::uint32_t number) {
  char name[17];
  std::snprintf(name, sizeof(name), "%016x", number);
  return name;
}

struct sharing_fixture : simulation_fixture {
  explicit sharing_fixture(work::duration spread = work::duration(0))
      : simulation_fixture({.workers = kWorkers,
                            .task_duration = kTaskDuration,
                            .task_duration_spread = spread,
                            .other_workspaces = {kFlood, kSmall}}) {}

  std::string Submit(const char* workspace,
                     const std::vector<work::step_spec>& steps,
                     const std::string& queue = "normal") {
    std::string job = JobName(++jobs_);
    simulation.SubmitAs(workspace, Leader(), job, steps, queue);
    return job;
  }

  // Ten times what the workers can run at a time.
  void Flood(const std::string& queue = "normal") {
    for (std::uint32_t i = 0; i < 10 * kWorkers; ++i)
      Submit(kFlood, {Step(1, 8)}, queue);
  }

 private:
  std::uint32_t jobs_ = 0;
};

}  // namespace

// Guards against a workspace that waits behind all that another one has
// submitted before.
Test(workspace, with_few_jobs_is_served_soon_while_another_floods_the_service) {
  sharing_fixture fixture;
  fixture.Flood();
  fixture.simulation.RunFor(work::duration(1000));
  const std::string job = fixture.Submit(kSmall, {Step(1, 8)});
  cr_assert(fixture.Runs(job, kTaskDuration + work::duration(1000)));
  cr_assert_gt(fixture.simulation.CounterOf("units_placed_out_of_order"), 0U);
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against shares that the successor of a leader does not know.
Test(workspace, with_few_jobs_is_served_soon_by_a_leaders_successor) {
  sharing_fixture fixture;
  fixture.Flood();
  fixture.simulation.RunFor(work::duration(4000));
  const std::uint32_t former = fixture.Leader();
  fixture.simulation.Kill(former);
  fixture.AwaitSuccessorOf(former);
  const std::string job = fixture.Submit(kSmall, {Step(1, 8)});
  cr_assert(fixture.Runs(job, kTaskDuration + work::duration(1000)));
}

Test(workspace, that_floods_the_service_is_served_in_the_end) {
  sharing_fixture fixture;
  fixture.Flood();
  for (std::uint32_t i = 0; i < kWorkers; ++i)
    fixture.Submit(kSmall, {Step(1, 8)});
  cr_assert(fixture.Ends(JobName(10 * kWorkers), work::job_phase::kCompleted,
                         14 * kTaskDuration));
}

// Guards against work of a lower rank that is placed before that of a higher
// one, as its workspace has less.
Test(workspace, with_background_work_is_served_after_firm_work) {
  sharing_fixture fixture;
  fixture.Flood();
  fixture.simulation.RunFor(work::duration(1000));
  const std::string job = fixture.Submit(kSmall, {Step(1, 8)}, "background");
  cr_assert_not(fixture.Runs(job, 6 * kTaskDuration));
}

// Guards against an order that changes although all units have room.
Test(units, with_room_for_all_are_placed_in_the_order_of_submission) {
  sharing_fixture fixture;
  for (std::uint32_t i = 0; i < kWorkers; ++i)
    fixture.Submit(i % 3 == 2 ? kSmall : kFlood, {Step(1, 4)});
  fixture.simulation.RunFor(work::duration(1000));
  cr_assert_eq(fixture.simulation.starts(), kWorkers);
  cr_assert_eq(fixture.simulation.CounterOf("units_placed_out_of_order"), 0U);
  cr_assert_eq(fixture.simulation.CounterOf("rooms_kept"), 0U);
}

// Guards against a gang that waits until no smaller unit is left, as each
// accelerator that becomes free is taken at once.
Test(gang, that_waits_for_a_rack_is_not_passed_by_smaller_units_for_ever) {
  sharing_fixture fixture(work::duration(2000));
  for (std::uint32_t i = 0; i < 20; ++i)
    fixture.Submit(kFlood, {Step(40, 1)}, "background");
  fixture.simulation.RunFor(work::duration(1000));
  work::step_spec step{.tasks = 3,
                       .need = {.cpu_millis = 1000, .accelerators = 8},
                       .estimate = kTaskDuration,
                       .gang = true,
                       .same_rack = true};
  const std::string job = fixture.Submit(kSmall, {step});
  cr_assert(fixture.Runs(job, work::duration(20000)));
  cr_assert_gt(fixture.simulation.CounterOf("rooms_kept"), 0U);
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against workers that stay idle for a unit that never fits.
Test(gang, that_never_fits_does_not_keep_others_from_their_workers) {
  sharing_fixture fixture;
  work::step_spec step{.tasks = kWorkers + 1,
                       .need = {.cpu_millis = 1000, .accelerators = 8},
                       .estimate = kTaskDuration,
                       .gang = true,
                       .same_rack = true};
  fixture.Submit(kSmall, {step});
  fixture.simulation.RunFor(work::duration(10000));
  fixture.Flood();
  cr_assert(fixture.Ends(JobName(1 + 10 * kWorkers),
                         work::job_phase::kCompleted, 13 * kTaskDuration));
  cr_assert_eq(fixture.simulation.CounterOf("rooms_kept"), 0U);
}
