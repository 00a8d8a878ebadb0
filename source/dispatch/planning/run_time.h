// How long tasks run on a worker, relative to a usual one.

#ifndef PARSLEYHITCH_DISPATCH_PLANNING_RUN_TIME_H_
#define PARSLEYHITCH_DISPATCH_PLANNING_RUN_TIME_H_

#include <map>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/hooks.h"
#include "placement/room.h"

namespace parsleyhitch::dispatch {

// The function by which a planning pass orders workers: the worker's speed
// times the `relative_run_time` hook. Valid as long as the environment.
placement::run_time_function RelativeRunTime(const context& ctx);

// The images on each worker, as far as a planning pass has looked them up.
using worker_images = std::map<work::worker_id, std::vector<std::string>>;

// The time by the tasks beside the unit's, with the time that these lose. Empty
// while no pair of its image is known to interfere. It keeps the images that it
// looks up in `found`, which must outlive it.
placement::run_time_function InterferenceFactor(const context& ctx,
                                                const waiting_unit& waiting,
                                                worker_images& found);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PLANNING_RUN_TIME_H_
