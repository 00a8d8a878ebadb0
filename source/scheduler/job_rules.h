// Rules for jobs that the fold and the planner share.

#ifndef PARSLEYHITCH_SCHEDULER_JOB_RULES_H_
#define PARSLEYHITCH_SCHEDULER_JOB_RULES_H_

#include "model/ledger.h"

namespace parsleyhitch::scheduler {

// True if starting the job keeps its workspace, and each workspace above it,
// within quota. False while no manifest is in force.
bool WithinQuota(const model::ledger& ledger, const model::job_spec& spec);

// True if a task in this state has ended and holds no accelerators.
bool IsTerminalState(model::task_state state);

// True if every member is in the state `wanted`, is running or has finished.
bool AllReached(const model::placement& placed, model::task_state wanted);

// The placement's member on the worker; null if there is none.
const model::member* MemberOn(const model::placement& placed,
                              const model::worker_id& worker);

// True for the phases that a job never leaves.
bool IsTerminalPhase(model::job_phase phase);

// True for the phases in which the job has a gang that is not stopping yet.
bool CanBeStopped(model::job_phase phase);

// The job's place in the queue of waiting jobs.
model::queue_position QueuePositionOf(const model::job_id& id,
                                      const model::job_status& job);

// Allocates one member's accelerators on its worker, or releases them.
enum class allocation_change { kAllocate, kRelease };
model::ledger ChangeAllocation(model::ledger ledger,
                               const model::job_id& job,
                               const model::placement& placed,
                               const model::worker_id& worker,
                               allocation_change change);

// The declared run time, scaled by the ratio of actual to declared run time
// that was measured on earlier jobs of the same owner and kind.
model::duration ExpectedRunTime(const model::ledger& ledger,
                                const model::job_spec& spec);

// When the job is expected to end. A job that has exceeded its expected run
// time is expected to run for as long again as it has run so far.
model::timestamp ExpectedEnd(const model::ledger& ledger,
                             const model::job_status& job,
                             model::timestamp now);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_JOB_RULES_H_
