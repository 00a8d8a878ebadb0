// All changes of worker loads are made here.

#include "dispatch/fleet/loads.h"

#include <utility>

namespace parsleyhitch::dispatch {

const worker_load& LoadOf(const context& ctx, const work::worker_id& worker) {
  static const worker_load idle;
  const worker_load* found = ctx.state.leader.loads.Find(worker);
  return found == nullptr ? idle : *found;
}

void AddToLoad(const context& ctx,
               const work::worker_id& worker,
               const work::unit_id& id,
               std::uint32_t index,
               const work::resources& need) {
  worker_load load = LoadOf(ctx, worker);
  load.tasks.insert({id, index});
  load.used = load.used + need;
  ctx.state.leader.loads.Put(worker, std::move(load));
}

void MarkLeaving(const context& ctx,
                 const work::worker_id& worker,
                 const work::resources& need) {
  const worker_load* known = ctx.state.leader.loads.Find(worker);
  if (known == nullptr)
    return;
  worker_load load = *known;
  load.leaving = load.leaving + need;
  ctx.state.leader.loads.Put(worker, std::move(load));
}

void RemoveFromLoad(const context& ctx,
                    const work::worker_id& worker,
                    const work::unit_id& id,
                    std::uint32_t index,
                    bool was_leaving,
                    const work::resources& need) {
  const worker_load* known = ctx.state.leader.loads.Find(worker);
  if (known == nullptr || !known->tasks.contains({id, index}))
    return;
  worker_load load = *known;
  load.tasks.erase({id, index});
  load.used = load.used - need;
  if (was_leaving)
    load.leaving = load.leaving - need;
  ctx.state.leader.loads.Put(worker, std::move(load));
}

std::vector<orphan_key> OrphanTasksOn(const context& ctx,
                                      const work::worker_id& worker) {
  std::vector<orphan_key> found;
  const auto& orphan_tasks = ctx.state.leader.orphan_tasks;
  for (auto at = orphan_tasks.LowerBound({.worker = worker});
       at != orphan_tasks.end() && at->first.worker == worker; ++at)
    found.push_back(at->first);
  return found;
}

}  // namespace parsleyhitch::dispatch
