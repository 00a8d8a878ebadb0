// Accounting of the workers' accelerators in the ledger, and the rack index
// that placement searches. Each call costs O(log workers), plus a copy of the
// index of the worker's rack where that changes.

#ifndef PARSLEYHITCH_SCHEDULER_CAPACITY_H_
#define PARSLEYHITCH_SCHEDULER_CAPACITY_H_

#include <cstdint>

#include "model/ledger.h"

namespace parsleyhitch::scheduler {

// How accelerators of a worker are used: by work that is never preempted
// (firm), by preemptible work (soft), or set aside for guaranteed shapes
// (reserved).
enum class use_kind { kFirm, kSoft, kReserved };

// Accelerators of the worker by use; all zero for an unknown worker.
model::capacity UseOf(const model::ledger& ledger,
                      const model::worker_id& worker);

// Accelerators of the worker without firm or soft work, reserved ones included;
// 0 for an unknown worker.
std::uint32_t FreeAcceleratorsOf(const model::ledger& ledger,
                                 const model::worker_id& worker);

// Adds `change`, which may be negative, to one kind of use of a worker and
// updates the rack index and the totals.
model::ledger AdjustUse(model::ledger ledger,
                        const model::worker_id& worker,
                        use_kind kind,
                        std::int32_t change);

// Stores the worker's status and updates the rack index and the totals.
model::ledger PutWorker(model::ledger ledger, model::worker_status status);

// Removes a worker. It must have no firm, soft or reserved use.
model::ledger DropWorker(model::ledger ledger, const model::worker_id& worker);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_CAPACITY_H_
