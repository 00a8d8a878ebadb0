// What each worker carries by the leader's books.

#ifndef PARSLEYHITCH_DISPATCH_LOADS_H_
#define PARSLEYHITCH_DISPATCH_LOADS_H_

#include <cstdint>
#include <vector>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// What the worker carries; an idle worker carries nothing.
const worker_load& LoadOf(const context& ctx, const work::worker_id& worker);

// The unit's member runs, or is to run, on the worker.
void AddToLoad(const context& ctx,
               const work::worker_id& worker,
               const work::unit_id& id,
               std::uint32_t index,
               const work::resources& need);

// A member on the worker is being stopped; its room becomes free soon.
void NoteLeaving(const context& ctx,
                 const work::worker_id& worker,
                 const work::resources& need);

// The member is gone from the worker.
void RemoveFromLoad(const context& ctx,
                    const work::worker_id& worker,
                    const work::unit_id& id,
                    std::uint32_t index,
                    bool was_leaving,
                    const work::resources& need);

// The strays on the worker.
std::vector<stray_id> StraysOn(const context& ctx,
                               const work::worker_id& worker);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_LOADS_H_
