// Reserved starts: a job that does not fit now reserves the workers that are
// expected to be free for it soonest, so that small jobs can't starve it.

#ifndef PARSLEYHITCH_SCHEDULER_PLAN_RESERVE_H_
#define PARSLEYHITCH_SCHEDULER_PLAN_RESERVE_H_

#include "scheduler/plan_state.h"

namespace parsleyhitch::scheduler {

// Reserves the workers on which the job is expected to start soonest. The plan
// is unchanged if no set of workers is expected to become free.
plan_state ReserveStart(plan_state plan, const placement_request& job);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_PLAN_RESERVE_H_
