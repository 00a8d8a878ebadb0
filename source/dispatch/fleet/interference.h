// Observes which tasks slow each other down on a worker.

#ifndef PARSLEYHITCH_DISPATCH_FLEET_INTERFERENCE_H_
#define PARSLEYHITCH_DISPATCH_FLEET_INTERFERENCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// What the step's tasks run. The queue and the index of a step stand for an
// image that its caller did not name.
std::string ImageOf(const active_job& job, std::uint32_t step);

// The images of all tasks on the worker, with those that are about to start.
std::vector<std::string> ImagesOn(const context& ctx,
                                  const work::worker_id& worker);

// After a listing of the worker was processed.
void ObserveInterference(const context& ctx,
                         const work::worker_id& worker,
                         const work::worker_listing& listing);

// At each tick: reports pairs that have become known, or are known no longer.
void AdvanceInterference(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_FLEET_INTERFERENCE_H_
