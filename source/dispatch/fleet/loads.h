// The load on each worker, as recorded by the leader.

#ifndef PARSLEYHITCH_DISPATCH_FLEET_LOADS_H_
#define PARSLEYHITCH_DISPATCH_FLEET_LOADS_H_

#include <cstdint>
#include <vector>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// The load on the worker; empty for an idle one.
const worker_load& LoadOf(const context& ctx, const work::worker_id& worker);

// Adds a unit's member that runs, or is about to run, on the worker.
void AddToLoad(const context& ctx,
               const work::worker_id& worker,
               const work::unit_id& id,
               std::uint32_t index,
               const work::resources& need);

// Records that a member on the worker is being stopped, so that its resources
// will soon be free.
void MarkLeaving(const context& ctx,
                 const work::worker_id& worker,
                 const work::resources& need);

// Removes a member that no longer runs on the worker.
void RemoveFromLoad(const context& ctx,
                    const work::worker_id& worker,
                    const work::unit_id& id,
                    std::uint32_t index,
                    bool was_leaving,
                    const work::resources& need);

// The orphan tasks on the worker.
std::vector<orphan_key> OrphanTasksOn(const context& ctx,
                                      const work::worker_id& worker);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_FLEET_LOADS_H_
