// Placement policies: which waiting jobs to place and which preemptible jobs to
// preempt. A plan is proposed through the log; records that are no longer
// feasible when they are read back are rejected.

#ifndef PARSLEYHITCH_SCHEDULER_PLAN_H_
#define PARSLEYHITCH_SCHEDULER_PLAN_H_

#include <vector>

#include "model/ledger.h"
#include "model/record.h"
#include "scheduler/hooks.h"

namespace parsleyhitch::scheduler {

// The production policy. Jobs that claim a guarantee go first, then short jobs,
// then the others by priority and submission time. Placement is best fit by
// rack. Jobs that do not fit get a reserved start, with backfill before it.
// Preemptible jobs are preempted for guarantees, for urgent jobs and for jobs
// that have waited for `limits.defragment_after`.
std::vector<model::record> PlanPlacements(const model::ledger& ledger,
                                          model::timestamp now,
                                          const plan_rules& rules);

// The baseline policy: first come first served, first fit, no reserved starts.
// Guarantees are honoured as in the production policy.
std::vector<model::record> PlanFirstFit(const model::ledger& ledger,
                                        model::timestamp now,
                                        const plan_rules& rules);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_PLAN_H_
