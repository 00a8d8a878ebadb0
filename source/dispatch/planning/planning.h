// Placing waiting units.

#ifndef PARSLEYHITCH_DISPATCH_PLANNING_PLANNING_H_
#define PARSLEYHITCH_DISPATCH_PLANNING_PLANNING_H_

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// planning.cc: placing waiting units.
void PlanIfDue(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PLANNING_PLANNING_H_
