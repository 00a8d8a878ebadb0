// Units whose rack is full during a peak, and that run three times as long
// elsewhere.

#include "policy/locality.h"

#include <criterion/criterion.h>

namespace policy = parsleyhitch::policy;
namespace work = parsleyhitch::work;
using policy::duration;
using policy::locality;

namespace {

work::resources Accelerators(std::int64_t count) {
  return {.cpu_millis = 1000 * count, .accelerators = count};
}

// Two workers that are full: four accelerators become free on each after one
// second, and four more on one of them after three.
std::vector<policy::room_forecast> FullRack() {
  return {{.coming = {{.in = duration(3000), .amount = Accelerators(4)},
                      {.in = duration(1000), .amount = Accelerators(4)}}},
          {.coming = {{.in = duration(1000), .amount = Accelerators(4)}}}};
}

// An urgent unit of 2.5 s with an objective of 250 ms beyond 1.5 times that.
policy::locality_question Urgent(duration wait) {
  return {.wait = wait,
          .run_time = duration(2500),
          .remote_permille = 3000,
          .slack = duration(1500)};
}

}  // namespace

Test(expected_wait, for_a_gang_lasts_until_its_last_task_fits) {
  cr_assert(policy::ExpectedWait(FullRack(), Accelerators(2), 4) ==
            duration(1000));
  cr_assert(policy::ExpectedWait(FullRack(), Accelerators(2), 5) ==
            duration(3000));
}

// Guards against room that is spread over workers and counted as one.
Test(expected_wait, for_a_large_task_lasts_until_one_worker_has_room) {
  cr_assert(policy::ExpectedWait(FullRack(), Accelerators(8), 1) ==
            duration(3000));
}

Test(expected_wait, for_more_than_becomes_free_has_no_end) {
  cr_assert_not(
      policy::ExpectedWait(FullRack(), Accelerators(8), 2).has_value());
}

Test(expected_wait, for_what_fits_now_is_none) {
  cr_assert(policy::ExpectedWait({{.free = Accelerators(8)}}, Accelerators(4),
                                 2) == duration(0));
}

// Load: 520 of 9,376 runs are away from their rack and hold room three times as
// long, which others lack under peak load.
Test(unit, that_ends_earlier_near_waits_although_it_is_late) {
  cr_assert(policy::ChooseLocality(Urgent(duration(3000))) == locality::kWaits);
}

Test(unit, that_would_wait_far_longer_than_it_runs_elsewhere_runs_there) {
  cr_assert(policy::ChooseLocality(Urgent(duration(9000))) ==
            locality::kRunsElsewhere);
}

Test(unit, that_is_in_time_near_waits) {
  policy::locality_question question = Urgent(duration(1000));
  question.slack = duration(30000);
  cr_assert(policy::ChooseLocality(question) == locality::kWaits);
}

Test(unit, that_is_in_time_only_elsewhere_runs_there) {
  policy::locality_question question = Urgent(duration(6000));
  question.slack = duration(5500);
  cr_assert(policy::ChooseLocality(question) == locality::kRunsElsewhere);
}

Test(unit, without_expected_room_near_runs_elsewhere) {
  policy::locality_question question = Urgent(duration(0));
  question.wait.reset();
  cr_assert(policy::ChooseLocality(question) == locality::kRunsElsewhere);
}

// Guards against units that starve near their data, as others always take the
// room there.
Test(unit, that_has_waited_in_vain_for_long_runs_elsewhere) {
  policy::locality_question question = Urgent(duration(500));
  question.slack = duration(-1);
  question.waited = duration(12000);
  cr_assert(policy::ChooseLocality(question) == locality::kWaits);
  question.waited = duration(16000);
  cr_assert(policy::ChooseLocality(question) == locality::kRunsElsewhere);
}

// Guards against a guarantee that is not reclaimed in time as its rack is full.
Test(unit, that_is_guaranteed_runs_elsewhere_when_near_would_be_too_late) {
  policy::locality_question question = Urgent(duration(1200));
  question.begins_within = duration(1000);
  cr_assert(policy::ChooseLocality(question) == locality::kRunsElsewhere);
  question.begins_within = duration(1800);
  cr_assert(policy::ChooseLocality(question) == locality::kWaits);
}
