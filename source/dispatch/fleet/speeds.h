// Speeds of workers as the leader learns them from listings, and the workers
// that are slow or hang.

#ifndef PARSLEYHITCH_DISPATCH_FLEET_SPEEDS_H_
#define PARSLEYHITCH_DISPATCH_FLEET_SPEEDS_H_

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// Called when a listing of the worker shows the running task of the step.
void ObserveSpeed(const context& ctx,
                  const work::worker_id& worker,
                  const work::running_task& task,
                  const work::step_spec& step);

// Compares the workers of each service from time to time, and logs those that
// have become slow, hang, or are as usual again. Called at each tick.
void AdvanceSpeeds(const context& ctx);

// What is known of the worker's process; as usual by default.
worker_judgement JudgementOf(const context& ctx,
                             const work::worker_id& worker,
                             const worker_state& row);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_FLEET_SPEEDS_H_
