// Records of versions before `failed_attempts` hold a count. An end that such a
// record may include takes the place of an unnamed failure, so that the count
// stays as it is.

#include "dispatch/orders/failures.h"

#include <utility>

namespace parsleyhitch::dispatch {

std::uint32_t CountOf(const failed_attempts& failed) {
  return static_cast<std::uint32_t>(failed.numbers.size()) + failed.unnamed;
}

failed_attempts WithAttempt(failed_attempts failed, std::uint64_t attempt) {
  const bool added = failed.numbers.insert(attempt).second;
  if (added && failed.unnamed > 0 && attempt < failed.unnamed_before)
    failed.unnamed -= 1;
  return failed;
}

failed_attempts FailedAttemptsIn(const work::unit_progress& saved) {
  std::set<std::uint64_t> numbers(saved.failed_attempts.begin(),
                                  saved.failed_attempts.end());
  if (saved.attempt_failed)
    numbers.insert(saved.attempt);
  const auto named = static_cast<std::uint32_t>(numbers.size());
  return {.numbers = std::move(numbers),
          .unnamed = saved.failures > named ? saved.failures - named : 0,
          .unnamed_before = saved.attempt};
}

}  // namespace parsleyhitch::dispatch
