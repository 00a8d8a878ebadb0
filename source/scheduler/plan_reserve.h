// Reserved starts: a shape that does not fit now is promised the workers that
// are expected to be free for it soonest, so that small work can't starve it.

#ifndef PARSLEYHITCH_SCHEDULER_PLAN_RESERVE_H_
#define PARSLEYHITCH_SCHEDULER_PLAN_RESERVE_H_

#include "scheduler/plan_board.h"

namespace parsleyhitch::scheduler {

// Keeps the workers on which the job is expected to start soonest. The board is
// unchanged when no set of workers is expected to come free.
plan_board ReserveStart(plan_board board, const sought_job& job);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_PLAN_RESERVE_H_
