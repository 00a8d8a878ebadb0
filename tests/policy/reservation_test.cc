// Urgent units that arrive at a service full of lower work: how long each waits
// for room before others are stopped.

#include "policy/reservation.h"

#include <criterion/criterion.h>

namespace policy = parsleyhitch::policy;
using policy::duration;

namespace {

struct wait_fixture {
  // A gang of 2.5 s with an objective of 1.5 times that and 250 ms.
  policy::unit_in_need unit{.slack = duration(1500),
                            .task_stop = duration(200)};

  std::int64_t Allowed(std::int64_t age) {
    unit.age = duration(age);
    return policy::AllowedWait(unit).count();
  }
};

}  // namespace

Test(allowed_wait, of_an_urgent_unit_leaves_time_for_a_stop) {
  wait_fixture fixture;
  cr_assert_eq(fixture.Allowed(0), 1000);
  cr_assert_eq(fixture.Allowed(400), 600);
}

// Guards against units that wait on and on for room that does not come.
Test(allowed_wait, of_an_urgent_unit_ends_when_a_stop_is_due) {
  wait_fixture fixture;
  cr_assert_gt(fixture.Allowed(1000), 0);
  cr_assert_eq(fixture.Allowed(1001), 0);
}

// Where a stop takes 900 ms, room that comes free before is there no later.
Test(allowed_wait, of_an_urgent_unit_is_at_least_as_long_as_a_stop) {
  wait_fixture fixture;
  fixture.unit.task_stop = duration(900);
  cr_assert_eq(fixture.Allowed(500), 900);
}

Test(allowed_wait, of_a_guaranteed_unit_is_a_small_share_of_its_bound) {
  wait_fixture fixture;
  fixture.unit.guaranteed = true;
  cr_assert_eq(fixture.Allowed(0), 300);
  cr_assert_eq(fixture.Allowed(200), 100);
}

// Guards against a guarantee that is claimed late.
Test(allowed_wait, of_a_guaranteed_unit_that_has_waited_is_zero) {
  wait_fixture fixture;
  fixture.unit.guaranteed = true;
  fixture.unit.slack = duration(60000);
  cr_assert_eq(fixture.Allowed(301), 0);
}

Test(expected_room, is_counted_on_only_after_a_margin) {
  cr_assert_eq(policy::WithMargin(duration(400)).count(), 500);
}
