// A wait is allowed while the objective can still be met by a stop afterwards,
// and as long as a stop would take.

#include "policy/reservation.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

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

// Long enough to smooth single jobs, and over well within a crest of load.
constexpr double kDecayMs = 10000;

// Lower work that ends by itself makes room for what comes later.
constexpr double kLeadMs = 1000;

// The largest share of the capacity that is left free. 4 to 20 % were measured
// without a clear gain when they were always reserved (docs/POLICY.md).
constexpr double kLargestShare = 0.08;

// Fewer stops than one in 10 s need no reserve; with five it is whole.
constexpr double kFewestStops = 1;
constexpr double kStopsOfWholeReserve = 5;

urgent_load DecayedTo(const urgent_load& before, timestamp now) {
  const auto passed = static_cast<double>((now - before.at).count());
  const double left = std::exp(-std::max(passed, 0.0) / kDecayMs);
  return {.at = std::max(now, before.at),
          .cpu_millis = before.cpu_millis * left,
          .memory_mb = before.memory_mb * left,
          .accelerators = before.accelerators * left,
          .stops = before.stops * left};
}

std::int64_t ReserveOf(double asked, std::int64_t capacity, double weight) {
  const double expected = asked / kDecayMs * kLeadMs;
  const double most = static_cast<double>(capacity) * kLargestShare;
  return static_cast<std::int64_t>(std::min(expected, most) * weight);
}

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

urgent_load WithArrival(const urgent_load& before,
                        const work::resources& asked,
                        timestamp now) {
  urgent_load next = DecayedTo(before, now);
  next.cpu_millis += static_cast<double>(asked.cpu_millis);
  next.memory_mb += static_cast<double>(asked.memory_mb);
  next.accelerators += static_cast<double>(asked.accelerators);
  return next;
}

urgent_load WithStop(const urgent_load& before, timestamp now) {
  urgent_load next = DecayedTo(before, now);
  next.stops += 1;
  return next;
}

work::resources ReserveFor(const urgent_load& load,
                           const work::resources& capacity,
                           timestamp now) {
  const urgent_load current = DecayedTo(load, now);
  if (current.stops < kFewestStops)
    return {};
  const double weight = std::min(current.stops / kStopsOfWholeReserve, 1.0);
  return {
      .cpu_millis = ReserveOf(current.cpu_millis, capacity.cpu_millis, weight),
      .memory_mb = ReserveOf(current.memory_mb, capacity.memory_mb, weight),
      .accelerators =
          ReserveOf(current.accelerators, capacity.accelerators, weight)};
}

}  // namespace parsleyhitch::policy
