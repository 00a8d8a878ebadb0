// Rules of jobs that both the fold and the planner go by.

#ifndef PARSLEYHITCH_SCHEDULER_JOB_RULES_H_
#define PARSLEYHITCH_SCHEDULER_JOB_RULES_H_

#include "model/ledger.h"

namespace parsleyhitch::scheduler {

// True when the job may start beside what its workspace, and each workspace
// above it, already holds.
bool WithinQuota(const model::ledger& ledger, const model::job_spec& spec);

// True when the member runs no more and holds nothing.
bool IsOver(model::task_state state);

// True when every member is in the state, or runs, or has finished.
bool AllAtLeast(const model::placement& placed, model::task_state wanted);

// The gang's member on the worker; null when there is none.
const model::member* MemberOn(const model::placement& placed,
                              const model::worker_id& worker);

// True in the phases from which no job returns.
bool IsEnd(model::job_phase phase);

// True when the gang's members may still be told to stop.
bool CanBeStopped(model::job_phase phase);

// The job's place in the queue of waiting jobs.
model::queue_position PositionOf(const model::job_id& id,
                                 const model::job_status& job);

// Takes one member's accelerators, or gives them back.
enum class member_change { kTake, kGiveBack };
model::ledger ChangeMember(model::ledger ledger,
                           const model::job_id& job,
                           const model::placement& placed,
                           const model::worker_id& worker,
                           member_change change);

// The run time to expect: the declared one, corrected by what jobs of the kind
// ran.
model::duration ExpectedRunTime(const model::ledger& ledger,
                                const model::job_spec& spec);

// When the job is expected to end. One that has outrun its estimate is expected
// to run as long again as it has run.
model::timestamp ExpectedEnd(const model::ledger& ledger,
                             const model::job_status& job,
                             model::timestamp now);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_JOB_RULES_H_
