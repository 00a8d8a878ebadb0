// Arithmetic of the workers' accelerators in the ledger, and the index by rack
// that placement searches. Each call costs O(log workers).

#ifndef PARSLEYHITCH_SCHEDULER_CAPACITY_H_
#define PARSLEYHITCH_SCHEDULER_CAPACITY_H_

#include <cstdint>

#include "model/ledger.h"

namespace parsleyhitch::scheduler {

// How accelerators of a worker are used.
enum class use_kind { kFirm, kSoft, kReserved };

// The worker's use; zeros for an unknown worker.
model::capacity UseOf(const model::ledger& ledger,
                      const model::worker_id& worker);

// Accelerators of a worker free of firm and soft work; 0 for an unknown worker.
std::uint32_t FreeOf(const model::ledger& ledger,
                     const model::worker_id& worker);

// Adds `change` (may be negative) to one kind of use of a worker.
model::ledger ChangeUse(model::ledger ledger,
                        const model::worker_id& worker,
                        use_kind kind,
                        std::int32_t change);

// Puts the worker's status, keeping the index and totals in step.
model::ledger PutWorker(model::ledger ledger, model::worker_status status);

// Forgets a worker that has no firm, soft or reserved use.
model::ledger DropWorker(model::ledger ledger, const model::worker_id& worker);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_CAPACITY_H_
