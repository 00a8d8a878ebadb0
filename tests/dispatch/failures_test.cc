// The failed attempts of a unit, and what they are taken for from a record of a
// version that stored only how many there were.

#include "dispatch/orders/failures.h"

#include <criterion/criterion.h>

namespace dispatch = parsleyhitch::dispatch;
namespace work = parsleyhitch::work;
using dispatch::CountOf;
using dispatch::failed_attempts;
using dispatch::FailedAttemptsIn;
using dispatch::WithAttempt;

namespace {

constexpr std::uint64_t kRecordedAttempt = 1001;

// Records of a version without `failed_attempts`.
struct older_record_fixture {
  static failed_attempts WithLatestRunning(std::uint32_t failures) {
    return FailedAttemptsIn(
        {.failures = failures, .attempt = kRecordedAttempt});
  }

  static failed_attempts WithLatestFailed(std::uint32_t failures) {
    return FailedAttemptsIn({.failures = failures,
                             .attempt = kRecordedAttempt,
                             .attempt_failed = true});
  }
};

}  // namespace

Test(failed_attempts, with_an_attempt_added_twice_count_it_once) {
  const failed_attempts once = WithAttempt({}, 1);
  cr_assert_eq(CountOf(once), 1U);
  cr_assert(WithAttempt(once, 1) == once);
}

Test(failed_attempts, added_in_any_order_are_equal) {
  cr_assert(WithAttempt(WithAttempt({}, 1), 1001) ==
            WithAttempt(WithAttempt({}, 1001), 1));
}

Test(failed_attempts, in_a_record_are_those_that_were_stored) {
  const failed_attempts restored =
      FailedAttemptsIn({.failures = 2,
                        .attempt = kRecordedAttempt,
                        .attempt_failed = true,
                        .failed_attempts = {1, kRecordedAttempt}});
  const std::set<std::uint64_t> stored{1, kRecordedAttempt};
  cr_assert(restored.numbers == stored);
  cr_assert_eq(CountOf(restored), 2U);
}

// Guards against a failure that is counted again after a release.
Test(failed_attempts, in_an_older_record_listed_again_are_not_counted_again) {
  failed_attempts restored = older_record_fixture::WithLatestFailed(2);
  cr_assert_eq(CountOf(restored), 2U);
  restored = WithAttempt(restored, kRecordedAttempt);
  cr_assert_eq(CountOf(restored), 2U);
  restored = WithAttempt(restored, kRecordedAttempt - 1);
  cr_assert_eq(CountOf(restored), 2U);
}

// Guards against more starts than the queue allows after a release.
Test(failed_attempts, beyond_those_in_an_older_record_are_counted) {
  const failed_attempts running = older_record_fixture::WithLatestRunning(1);
  cr_assert_eq(CountOf(WithAttempt(running, kRecordedAttempt)), 2U);
  cr_assert_eq(CountOf(WithAttempt(running, kRecordedAttempt + 1)), 2U);
  const failed_attempts named = WithAttempt(running, 1);
  cr_assert_eq(CountOf(WithAttempt(named, 2)), 2U);
}
