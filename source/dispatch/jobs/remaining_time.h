// How long placed units are expected to run on.

#ifndef PARSLEYHITCH_DISPATCH_JOBS_REMAINING_TIME_H_
#define PARSLEYHITCH_DISPATCH_JOBS_REMAINING_TIME_H_

#include <optional>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// The longest that one of the unit's tasks is expected to run on, by its
// progress if listings have shown any, or else by the estimate. Nothing for a
// unit of an endless step.
std::optional<duration> RemainingTime(const context& ctx,
                                      const work::unit_id& id,
                                      const unit& each,
                                      const work::step_spec& step);

// The same by progress alone. Nothing while one of the tasks has shown none, or
// has outlasted what it showed.
std::optional<duration> ShownRemainingTime(const context& ctx,
                                           const work::unit_id& id,
                                           const unit& each,
                                           const work::step_spec& step);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_JOBS_REMAINING_TIME_H_
