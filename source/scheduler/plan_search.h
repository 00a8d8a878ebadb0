// Searches the fleet for workers that fit a shape.

#ifndef PARSLEYHITCH_SCHEDULER_PLAN_SEARCH_H_
#define PARSLEYHITCH_SCHEDULER_PLAN_SEARCH_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "model/ledger.h"

namespace parsleyhitch::scheduler {

// Accelerators that a search may take of a worker.
using headroom = std::function<std::uint32_t(const model::worker_id&)>;

// Which of the fitting workers a search selects.
enum class fit { kBest, kFirst };

// Finds `shape.gang_size` workers that meet the shape's adjacency, each with
// headroom for one member; empty if there are none. Best fit selects the group
// of racks, and for a single member the worker, with the least headroom, so
// that whole racks stay free. Workers with fewer than `minimum_free`
// accelerators free of firm and soft work are skipped through the index,
// without a call to `room`.
std::vector<model::worker_id> FindWorkers(const model::ledger& ledger,
                                          const model::shape& shape,
                                          const headroom& room,
                                          std::uint32_t minimum_free,
                                          fit choice);

// Finds workers that can be reserved for a guaranteed shape. Firm work and
// other reservations count as used; preemptible work does not.
std::vector<model::worker_id> FindReservable(const model::ledger& ledger,
                                             const model::shape& shape);

// True if the shape would fit beside the reservations in a fleet without
// running work.
bool FitsBesideReservations(const model::ledger& ledger,
                            const model::shape& shape);

// True if the shape would fit in the fleet without any work or reservation.
bool FitsInFleet(const model::ledger& ledger, const model::shape& shape);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_PLAN_SEARCH_H_
