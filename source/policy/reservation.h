// When a unit waits for room that is expected to come free instead of having
// others stopped, and how much room lower units leave free for urgent ones.

#ifndef PARSLEYHITCH_POLICY_RESERVATION_H_
#define PARSLEYHITCH_POLICY_RESERVATION_H_

#include "model/time.h"
#include "work/resources.h"

namespace parsleyhitch::policy {

using model::duration;
using model::timestamp;

// A unit that may have others stopped.
struct unit_in_need {
  // The time that its objective leaves beyond its estimated run time.
  duration slack{0};
  // Since it was accepted, or became ready.
  duration age{0};
  // The longest that a worker takes to stop a task.
  duration task_stop{0};
  // It claims a guarantee, which the platform bounds.
  bool guaranteed = false;

  bool operator==(const unit_in_need&) const = default;
};

// The longest time for which the unit waits for room rather than have others
// stopped now; zero if it does not wait at all. If the room has not come by
// then, a stop still comes in time, or the wait was no longer than a stop
// takes.
duration AllowedWait(const unit_in_need& unit);

// The time by which room that is expected to come free after `expected` is
// counted on.
duration WithMargin(duration expected);

// What urgent units of one service asked for lately, and how often others were
// stopped for them: sums that decay, as of `at`.
struct urgent_load {
  timestamp at;
  double cpu_millis = 0;
  double memory_mb = 0;
  double accelerators = 0;
  double stops = 0;

  bool operator==(const urgent_load&) const = default;
};

// After urgent units that need so much together have become ready.
urgent_load WithArrival(const urgent_load& before,
                        const work::resources& asked,
                        timestamp now);

// After a unit was stopped for an urgent one.
urgent_load WithStop(const urgent_load& before, timestamp now);

// How much of the service's capacity lower units that are about to start leave
// free: what urgent units are expected to ask for within about a second, but a
// small share of the capacity at most, and nothing unless others were stopped
// for them lately.
work::resources ReserveFor(const urgent_load& load,
                           const work::resources& capacity,
                           timestamp now);

}  // namespace parsleyhitch::policy

#endif  // PARSLEYHITCH_POLICY_RESERVATION_H_
