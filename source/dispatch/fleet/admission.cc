// Admission of workers. A worker is given starts only once the store has a
// record of it. The record of a start may be lost with its leader, and a
// worker's registry entry expires by itself: the successor of that leader would
// know neither of the start nor of the worker. With a record it knows of each
// worker that may run tasks, and waits for those that the registry does not
// name. The record is deleted once nothing runs there that could be missed.

#include <optional>
#include <utility>

#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/loads.h"

namespace parsleyhitch::dispatch {

namespace {

bool IsIdle(const context& ctx, const work::worker_id& worker) {
  return LoadOf(ctx, worker).tasks.empty() &&
         OrphanTasksOn(ctx, worker).empty();
}

// True for a worker that may be given starts, as far as its entry tells.
bool TakesStarts(const worker_state& row) {
  return row.is_listed && !row.replaced && !row.listed().draining;
}

// True if tasks run on the worker, or may be started there. A worker that is
// not fenced yet may still take a start of an earlier leader.
bool MayRunTasks(const context& ctx, const work::worker_id& worker) {
  const worker_state* row = ctx.state.leader.workers.Find(worker);
  return row != nullptr &&
         (TakesStarts(*row) || !row->fenced || !IsIdle(ctx, worker));
}

}  // namespace

bool IsAdmitted(const context& ctx, const work::worker_id& worker) {
  return ctx.state.leader.admitted_workers.contains(worker);
}

void UpdateAdmission(const context& ctx, const work::worker_id& worker) {
  if (IsAdmitted(ctx, worker) != MayRunTasks(ctx, worker))
    ctx.state.leader.changed_workers.insert(worker);
}

std::optional<work::record> TakeWorkerRecord(const context& ctx,
                                             const work::worker_id& worker) {
  const bool may_run_tasks = MayRunTasks(ctx, worker);
  if (IsAdmitted(ctx, worker) == may_run_tasks)
    return {};
  if (may_run_tasks)
    return work::worker_admitted{.worker = worker};
  ctx.state.leader.admitted_workers.erase(worker);
  return work::worker_released{.worker = worker};
}

void OnWorkerRecordStored(const context& ctx, const work::record& record) {
  const auto* stored = std::get_if<work::worker_admitted>(&record);
  if (stored == nullptr)
    return;
  ctx.state.leader.admitted_workers.insert(stored->worker);
  ctx.state.leader.plan_due = true;
}

bool ReturnWorkerRecord(const context& ctx, const work::record& record) {
  leader_state& leader = ctx.state.leader;
  if (const auto* admitted = std::get_if<work::worker_admitted>(&record)) {
    leader.changed_workers.insert(admitted->worker);
    return true;
  }
  const auto* released = std::get_if<work::worker_released>(&record);
  if (released == nullptr)
    return false;
  // Its record is still there.
  leader.admitted_workers.insert(released->worker);
  leader.changed_workers.insert(released->worker);
  return true;
}

void RestoreAdmissions(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  leader.admitted_workers = std::exchange(leader.stored_workers, {});
  for (const work::worker_id& worker : leader.admitted_workers) {
    if (!leader.workers.Contains(worker))
      AddUnlistedWorker(ctx, worker);
  }
}

}  // namespace parsleyhitch::dispatch
