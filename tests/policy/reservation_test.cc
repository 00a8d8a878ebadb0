// Urgent units that arrive at a service full of lower work: how long each waits
// for room before others are stopped.

#include "policy/reservation.h"

#include <criterion/criterion.h>

#include <string>

namespace policy = parsleyhitch::policy;
namespace work = parsleyhitch::work;
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

// Urgent jobs of five tasks with four accelerators each, each with a stop.
struct reserve_fixture {
  work::resources capacity{.cpu_millis = 11200000,
                           .memory_mb = 22400000,
                           .accelerators = 2800};
  policy::urgent_load load;

  void Load(int jobs_per_second, int seconds, bool with_stops) {
    for (int i = 0; i < jobs_per_second * seconds; ++i) {
      const policy::timestamp at = load.at + duration(1000) / jobs_per_second;
      load = policy::WithArrival(
          load, {.cpu_millis = 18500, .memory_mb = 40000, .accelerators = 20},
          at);
      if (with_stops)
        load = policy::WithStop(load, at);
    }
  }
  work::resources ReserveAfter(std::int64_t ms) const {
    return policy::ReserveFor(load, capacity, load.at + duration(ms));
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

Test(reserve, follows_the_rate_of_urgent_work) {
  reserve_fixture fixture;
  fixture.Load(4, 30, true);
  const std::int64_t usual = fixture.ReserveAfter(0).accelerators;
  cr_assert(usual > 60 && usual <= 80, "%s", std::to_string(usual).c_str());
  fixture.Load(9, 30, true);
  cr_assert_gt(fixture.ReserveAfter(0).accelerators, 3 * usual / 2);
}

// Guards against a reserve that keeps a large share of a service idle.
Test(reserve, in_a_crest_is_a_small_share_of_the_capacity) {
  reserve_fixture fixture;
  fixture.Load(100, 30, true);
  cr_assert_eq(fixture.ReserveAfter(0).accelerators, 224);
  cr_assert_leq(fixture.ReserveAfter(0).cpu_millis, 896000);
}

// Guards against room left free where urgent work finds enough anyway.
Test(reserve, without_recent_stops_is_zero) {
  reserve_fixture fixture;
  fixture.Load(9, 30, false);
  cr_assert(fixture.ReserveAfter(0) == work::resources());
}

Test(reserve, after_the_last_urgent_job_decays_to_zero) {
  reserve_fixture fixture;
  fixture.Load(4, 30, true);
  cr_assert_lt(fixture.ReserveAfter(10000).accelerators,
               fixture.ReserveAfter(0).accelerators);
  cr_assert(fixture.ReserveAfter(60000) == work::resources());
}
