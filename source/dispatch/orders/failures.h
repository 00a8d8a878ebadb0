// The failed attempts of a unit. They are kept by their numbers, not counted:
// the end of an attempt may be listed to several leaders in turn, by several
// members of a gang, and before or after the record that takes note of it.

#ifndef PARSLEYHITCH_DISPATCH_ORDERS_FAILURES_H_
#define PARSLEYHITCH_DISPATCH_ORDERS_FAILURES_H_

#include <cstdint>
#include <set>

#include "work/job.h"

namespace parsleyhitch::dispatch {

struct failed_attempts {
  std::set<std::uint64_t> numbers;
  // Failures in the record of a version that stored how many there were, and
  // the number of the latest attempt only. They are of attempts before
  // `unnamed_before`.
  std::uint32_t unnamed = 0;
  std::uint64_t unnamed_before = 0;

  bool operator==(const failed_attempts&) const = default;
};

// How many attempts have failed.
std::uint32_t CountOf(const failed_attempts& failed);

// The failed attempts and `attempt`. Nothing changes if it is among them.
failed_attempts WithAttempt(failed_attempts failed, std::uint64_t attempt);

// The failed attempts in a record.
failed_attempts FailedAttemptsIn(const work::unit_progress& saved);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_ORDERS_FAILURES_H_
