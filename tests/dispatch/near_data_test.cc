// Units that wait for room near their data.

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

// The workers of one rack are full for long.
struct full_rack_fixture : simulation_fixture {
  // `others` workers of the other racks are full too.
  explicit full_rack_fixture(std::uint32_t others)
      : simulation_fixture({.workers = kRacks * kWorkersPerRack,
                            .workers_per_rack = kWorkersPerRack,
                            .task_duration = work::duration(60000)}) {
    const work::step_spec here = Near("r-0", kWorkersPerRack, 8);
    simulation.Submit(Follower(), kOtherJob, {here, Step(others, 8)});
    cr_assert(simulation.RunUntil(
        [&] { return simulation.starts() == kWorkersPerRack + others; },
        work::duration(3000)));
  }

  // A step whose data is on the rack, with an estimate of an hour.
  static work::step_spec Near(const char* rack,
                              std::uint32_t count,
                              std::int64_t accelerators) {
    const work::step_spec step = Step(count, accelerators);
    return {.tasks = count,
            .need = step.need,
            .estimate = std::chrono::hours(1),
            .data_rack = work::rack_id(rack)};
  }
};

}  // namespace

// Guards against a job that waits for a full rack for half of its slack while
// most of the workers are idle.
Test(unit, whose_rack_is_full_starts_elsewhere_while_most_workers_are_idle) {
  full_rack_fixture fixture(1);
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {full_rack_fixture::Near("r-0", 1, 1)});
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
}

Test(unit, whose_rack_is_full_waits_for_it_while_most_workers_are_busy) {
  full_rack_fixture fixture(5);
  fixture.simulation.Submit(fixture.Follower(), kJob,
                            {full_rack_fixture::Near("r-0", 1, 1)});
  cr_assert_not(fixture.Runs(kJob, work::duration(8000)));
}
