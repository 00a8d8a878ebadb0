// Moving units off workers that are slow or hang.

#ifndef PARSLEYHITCH_DISPATCH_PLANNING_MOVES_H_
#define PARSLEYHITCH_DISPATCH_PLANNING_MOVES_H_

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// Stops units that are expected to end earlier elsewhere by a wide margin, if
// there is room for them there. Called at each tick.
void MoveFromSlowWorkers(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PLANNING_MOVES_H_
