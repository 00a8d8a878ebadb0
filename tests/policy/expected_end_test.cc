// Expected ends of tasks whose run time callers estimate badly.

#include "policy/expected_end.h"

#include <criterion/criterion.h>

namespace policy = parsleyhitch::policy;
using policy::duration;
using policy::run_progress;
using policy::timestamp;

namespace {

timestamp At(std::int64_t ms) {
  return timestamp(duration(ms));
}

struct run_fixture {
  run_progress run{.started = At(1000), .estimate = duration(4000)};

  void Show(std::int64_t ms, std::uint32_t percent) {
    run = policy::WithSample(run, {.at = At(ms), .percent = percent});
  }
  std::int64_t RemainingAt(std::int64_t ms) const {
    return policy::ExpectedRemaining(run, At(ms)).count();
  }
};

}  // namespace

Test(expected_end, of_a_run_without_samples_follows_the_estimate) {
  const run_fixture fixture;
  cr_assert_eq(fixture.RemainingAt(2000), 3000);
}

Test(expected_end, of_a_run_that_is_overdue_moves_on_with_it) {
  const run_fixture fixture;
  cr_assert_eq(fixture.RemainingAt(9000), 2000);
}

// Guards against trust in an estimate that progress contradicts.
Test(expected_end, of_a_straggler_follows_its_progress) {
  run_fixture fixture;
  fixture.Show(2000, 10);
  fixture.Show(4000, 20);
  cr_assert_eq(fixture.RemainingAt(5000), 15000);
}

Test(expected_end, of_a_run_that_resumed_counts_only_progress_that_was_shown) {
  run_fixture fixture;
  fixture.Show(1500, 60);
  fixture.Show(2500, 80);
  cr_assert_eq(fixture.RemainingAt(2500), 1000);
}

Test(expected_end, of_a_run_that_should_have_ended_is_now) {
  run_fixture fixture;
  fixture.Show(2000, 50);
  fixture.Show(3000, 90);
  cr_assert_eq(fixture.RemainingAt(9000), 0);
}

// Guards against waits for an end that only the caller's estimate promises.
Test(shown_end, of_a_run_without_samples_is_unknown) {
  const run_fixture fixture;
  cr_assert_not(policy::ShownRemaining(fixture.run, At(2000)).has_value());
}

Test(shown_end, of_a_run_with_progress_follows_it) {
  run_fixture fixture;
  fixture.Show(2000, 20);
  fixture.Show(3000, 60);
  cr_assert_eq(policy::ShownRemaining(fixture.run, At(3500))->count(), 500);
}

// Guards against waits for a run that hangs shortly before its end.
Test(shown_end, of_a_run_that_outlasted_it_is_unknown) {
  run_fixture fixture;
  fixture.Show(2000, 20);
  fixture.Show(3000, 60);
  cr_assert_eq(policy::ShownRemaining(fixture.run, At(4300))->count(), 0);
  cr_assert_not(policy::ShownRemaining(fixture.run, At(4301)).has_value());
}
