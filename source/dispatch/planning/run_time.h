// How long a waiting unit is expected to take on each worker.

#ifndef PARSLEYHITCH_DISPATCH_PLANNING_RUN_TIME_H_
#define PARSLEYHITCH_DISPATCH_PLANNING_RUN_TIME_H_

#include <map>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/hooks.h"
#include "placement/capacity_map.h"

namespace parsleyhitch::dispatch {

// The images on each worker, as far as a planning pass has looked them up.
using worker_images = std::map<work::worker_id, std::vector<std::string>>;

// The time by the tasks beside the unit's, with the time that these lose. Empty
// while no pair of its image is known to interfere. It keeps the images that it
// looks up in `found`, which must outlive it.
placement::relative_run_time InterferenceFactor(const context& ctx,
                                                const waiting_unit& waiting,
                                                worker_images& found);

// All factors together; empty if the time is the same on all workers.
placement::relative_run_time RunTimeOf(const context& ctx,
                                       const waiting_unit& waiting,
                                       worker_images& found);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PLANNING_RUN_TIME_H_
