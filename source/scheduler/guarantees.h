// Guaranteed shapes. For all unclaimed shapes at once the ledger keeps a
// concrete reservation of workers (the witness): firm work never takes it,
// preemptible work may borrow it. A shape with no reservation is reported
// short, with the reason.

#ifndef PARSLEYHITCH_SCHEDULER_GUARANTEES_H_
#define PARSLEYHITCH_SCHEDULER_GUARANTEES_H_

#include <optional>
#include <set>
#include <vector>

#include "model/ledger.h"
#include "scheduler/capacity.h"
#include "scheduler/fold.h"

namespace parsleyhitch::scheduler {

// Brings the guarantees in step with the manifest in force: drops what it no
// longer has, reserves what is new or changed.
fold_step ApplyGuarantees(fold_step step);

// Tries again to reserve the shapes that are short. Costs nothing when none is.
fold_step RetryShortGuarantees(fold_step step);

// Takes reservations off a worker that can't hold them any more and reserves
// the shapes elsewhere.
fold_step MoveGuaranteesOff(fold_step step, const model::worker_id& worker);

// The unclaimed guarantee of the job's owner, outside `excluded`, that fits the
// job with least to spare; nothing when there is none.
std::optional<model::guarantee_id> ClaimableBy(
    const model::ledger& ledger,
    const model::job_spec& spec,
    const std::set<model::guarantee_id>& excluded);

// True when a guarantee of the job's owner fits the job, claimed or not.
bool MayEverClaim(const model::ledger& ledger, const model::job_spec& spec);

// Marks the guarantee claimed by the job that is placed on its workers. What
// the members don't use stays reserved.
model::ledger Claim(model::ledger ledger,
                    const model::guarantee_id& id,
                    const model::job_id& job,
                    const model::placement& placed);

// Puts a guarantee as a checkpoint has it, with the reservations it stands for.
// The placement of the job that claims it must be in the ledger.
model::ledger RestoreGuarantee(model::ledger ledger,
                               const model::guarantee_id& id,
                               const model::guarantee_status& status);

// The job that claimed a guarantee has let go of its members `placed`: the
// shape is reserved afresh, unless the manifest has withdrawn it.
fold_step Unclaim(fold_step step,
                  const model::job_id& job,
                  const model::placement& placed);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_GUARANTEES_H_
