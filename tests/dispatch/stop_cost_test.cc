// The cost of a stop, where urgent work stops thousands of runs a day.

#include <criterion/criterion.h>

#include "dispatch/hooks.h"

namespace dispatch = parsleyhitch::dispatch;
namespace work = parsleyhitch::work;

namespace {

struct stop_cost_fixture {
  work::platform_bounds bounds{.task_stop = work::duration(900),
                               .checkpoint_restore = work::duration(250)};
  dispatch::running_unit unit{.cpu_millis = 4000,
                              .accelerators = 1,
                              .ran = work::duration(3000),
                              .remaining = work::duration(3000)};

  std::uint64_t Cost() const {
    return dispatch::DefaultHooks(bounds).stop_cost(unit);
  }
};

}  // namespace

Test(stop_cost, of_a_unit_with_checkpoints_does_not_grow_with_its_run) {
  stop_cost_fixture fixture;
  fixture.unit.checkpointed = true;
  fixture.unit.remaining.reset();
  const std::uint64_t early = fixture.Cost();
  fixture.unit.ran = work::duration(60000);
  cr_assert_eq(fixture.Cost(), early);
}

// Guards against constants that stand for one platform: a stop that takes long
// costs a checkpointed unit more.
Test(stop_cost, of_a_unit_with_checkpoints_follows_the_bounds) {
  stop_cost_fixture fixture;
  fixture.unit.checkpointed = true;
  const std::uint64_t slow = fixture.Cost();
  fixture.bounds.task_stop = work::duration(200);
  cr_assert_lt(fixture.Cost(), slow);
}

Test(stop_cost, of_a_unit_without_checkpoints_is_higher_the_longer_it_ran) {
  stop_cost_fixture fixture;
  const std::uint64_t early = fixture.Cost();
  fixture.unit.ran = work::duration(6000);
  fixture.unit.remaining = work::duration(6000);
  cr_assert_gt(fixture.Cost(), early);
}

Test(stop_cost, of_a_unit_with_checkpoints_is_below_that_of_one_without) {
  stop_cost_fixture fixture;
  const std::uint64_t without = fixture.Cost();
  fixture.unit.checkpointed = true;
  cr_assert_lt(fixture.Cost(), without);
}

// Guards against stops shortly before the room comes free by itself.
Test(stop_cost, of_a_unit_that_ends_soon_is_higher) {
  stop_cost_fixture fixture;
  const std::uint64_t halfway = fixture.Cost();
  fixture.unit.remaining = work::duration(100);
  cr_assert_gt(fixture.Cost(), halfway);
}

// Guards against a unit that is stopped over and over.
Test(stop_cost, of_a_unit_doubles_with_each_earlier_stop) {
  stop_cost_fixture fixture;
  const std::uint64_t first = fixture.Cost();
  fixture.unit.preemptions = 2;
  cr_assert_eq(fixture.Cost(), 4 * first);
}

Test(stop_cost, of_two_units_is_above_that_of_one_as_large) {
  stop_cost_fixture fixture;
  const std::uint64_t small = fixture.Cost();
  fixture.unit.members = 2;
  cr_assert_lt(fixture.Cost(), 2 * small);
}
