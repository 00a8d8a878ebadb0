// Placing waiting units, and the time that further jobs would wait.

#ifndef PARSLEYHITCH_DISPATCH_PLANNING_PLANNING_H_
#define PARSLEYHITCH_DISPATCH_PLANNING_PLANNING_H_

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// planning.cc: placing waiting units.
void PlanIfDue(const context& ctx);

// waits.cc: how long further jobs would wait.
void MeasureWaitsIfDue(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PLANNING_PLANNING_H_
