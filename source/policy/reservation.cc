// A wait is allowed while the objective can still be met by a stop afterwards,
// and as long as a stop would take.

#include "policy/reservation.h"

#include <algorithm>

namespace parsleyhitch::policy {

namespace {

// From the decision to stop a unit until another has started in its place,
// beyond the time that the stop takes: two orders and a listing.
constexpr duration kStopReserve{300};

// A guaranteed unit must have begun within 2.7 s of its acceptance at the
// strictest deployment, and a stop takes up to 1.4 s of that.
constexpr duration kLongestGuaranteedWait{300};

// Percentages are whole numbers: a rate from 5 % of progress is off by up to a
// fifth.
constexpr int kMarginDivisor = 4;

}  // namespace

duration AllowedWait(const unit_in_need& unit) {
  const duration stop_takes = unit.task_stop + kStopReserve;
  const duration until_stop = unit.slack - stop_takes - unit.age;
  if (unit.guaranteed) {
    const duration left = kLongestGuaranteedWait - unit.age;
    return std::max(std::min(left, std::max(until_stop, unit.task_stop)),
                    duration(0));
  }
  const duration latest_stop =
      std::max(unit.slack - stop_takes, unit.task_stop);
  if (unit.age > latest_stop)
    return duration(0);
  return std::max(until_stop, unit.task_stop);
}

duration WithMargin(duration expected) {
  return expected + expected / kMarginDivisor;
}

}  // namespace parsleyhitch::policy
