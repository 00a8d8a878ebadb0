// How long tasks run on a worker, relative to a usual one.

#ifndef PARSLEYHITCH_DISPATCH_PLANNING_RUN_TIME_H_
#define PARSLEYHITCH_DISPATCH_PLANNING_RUN_TIME_H_

#include "dispatch/context.h"
#include "placement/room.h"

namespace parsleyhitch::dispatch {

// The function by which a planning pass orders workers: the worker's speed
// times the `relative_run_time` hook. Valid as long as the environment.
placement::run_time_function RelativeRunTime(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PLANNING_RUN_TIME_H_
