// Guaranteed shapes. Each unclaimed shape has its own reservation on concrete
// workers, so that all of them can be claimed at the same time. Firm work never
// takes reserved accelerators; preemptible work may borrow them. A shape that
// can't be reserved is reported as unmet, with the reason.

#ifndef PARSLEYHITCH_SCHEDULER_GUARANTEES_H_
#define PARSLEYHITCH_SCHEDULER_GUARANTEES_H_

#include <optional>
#include <set>
#include <vector>

#include "model/ledger.h"
#include "scheduler/capacity.h"
#include "scheduler/fold.h"

namespace parsleyhitch::scheduler {

// Applies the guarantees of the manifest in force: withdraws those that it no
// longer has, and reserves new or changed ones.
fold_step ApplyGuarantees(fold_step step);

// Tries again to reserve the shapes of unmet guarantees. Does nothing if there
// are none.
fold_step RetryUnmetGuarantees(fold_step step);

// Moves the reservations of unclaimed shapes off a worker that takes no new
// placements. The guarantee of a shape that fits nowhere
// else becomes unmet.
fold_step MoveReservationsOff(fold_step step, const model::worker_id& worker);

// The smallest unclaimed guarantee of the job's owner, outside `excluded`, that
// the job fits in; nothing if there is none or the job is preemptible.
std::optional<model::guarantee_id> FindClaimableGuarantee(
    const model::ledger& ledger,
    const model::job_spec& spec,
    const std::set<model::guarantee_id>& excluded);

// True if the job fits in a guarantee of its owner, claimed or not.
bool FitsOwnerGuarantee(const model::ledger& ledger,
                        const model::job_spec& spec);

// Marks the guarantee as claimed by the job, which is placed on its workers.
// Accelerators of the shape that the job's members don't use stay reserved.
model::ledger MarkClaimed(model::ledger ledger,
                          const model::guarantee_id& id,
                          const model::job_id& job,
                          const model::placement& placed);

// Restores a guarantee from a checkpoint together with its reservation. The
// placement of a job that claims it must already be in the ledger.
model::ledger RestoreGuarantee(model::ledger ledger,
                               const model::guarantee_id& id,
                               const model::guarantee_status& status);

// Ends the job's claim after its placement `placed` has ended: the shape is
// reserved again, unless the manifest in force no longer has the guarantee.
fold_step ReleaseClaim(fold_step step,
                       const model::job_id& job,
                       const model::placement& placed);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_GUARANTEES_H_
