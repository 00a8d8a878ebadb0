// Placement policies: which waiting jobs to place, and which preemptible work
// to move out of the way. A plan is proposed through the log; what has become
// infeasible there is void.

#ifndef PARSLEYHITCH_SCHEDULER_PLAN_H_
#define PARSLEYHITCH_SCHEDULER_PLAN_H_

#include <vector>

#include "model/ledger.h"
#include "model/record.h"
#include "scheduler/hooks.h"

namespace parsleyhitch::scheduler {

// Guaranteed claims first, then by priority and submission: best fit by rack,
// reserved starts for shapes that don't fit yet, backfill before those, and
// preemption of borrowed capacity for guarantees and urgent work.
std::vector<model::record> PlanPlacements(const model::ledger& ledger,
                                          model::timestamp now,
                                          const plan_rules& rules);

// First come first served, first fit, no reserved starts. Guaranteed claims are
// honoured all the same.
std::vector<model::record> PlanFirstFit(const model::ledger& ledger,
                                        model::timestamp now,
                                        const plan_rules& rules);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_PLAN_H_
