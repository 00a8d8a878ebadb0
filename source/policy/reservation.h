// When a unit waits for room that is expected to come free instead of having
// others stopped.

#ifndef PARSLEYHITCH_POLICY_RESERVATION_H_
#define PARSLEYHITCH_POLICY_RESERVATION_H_

#include "model/time.h"

namespace parsleyhitch::policy {

using model::duration;

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

}  // namespace parsleyhitch::policy

#endif  // PARSLEYHITCH_POLICY_RESERVATION_H_
