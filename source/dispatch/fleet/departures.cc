// Moves units off workers that have announced their departure, as all that
// still runs on a worker when it leaves is lost. A unit that is expected to end
// in time stays. One with checkpoints runs on until it has to be stopped; its
// stop saves its progress. Any other is stopped at once.

#include <algorithm>
#include <set>

#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/loads.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/remaining_time.h"
#include "dispatch/orders/orders.h"

namespace parsleyhitch::dispatch {

namespace {

// How much earlier than estimated a worker may leave: the age of its registry
// entry when it is read.
constexpr duration kRegistryLag{800};

// From the decision to stop a unit until its worker lists the end, beyond the
// time that the stop takes.
constexpr duration kStopReserve{500};

bool MustStop(const context& ctx,
              const work::unit_id& id,
              timestamp leaves_at) {
  const unit* each = ctx.state.leader.units.Find(id);
  const active_job* job = ctx.state.leader.jobs.Find(id.job);
  if (each == nullptr || job == nullptr || each->phase != unit_phase::kPlaced)
    return false;
  const work::step_spec& step = StepOf(*job, id);
  const auto remaining = RemainingTime(ctx, id, *each, step);
  const bool ends_in_time = remaining && ctx.now() + *remaining <= leaves_at;
  if (ends_in_time)
    return false;
  const duration stop_time = ctx.env.bounds.task_stop + kStopReserve;
  return !step.checkpointed || ctx.now() >= leaves_at - stop_time;
}

}  // namespace

void NoteDeparture(const context& ctx, worker_state& row) {
  const work::registered_worker& entry = row.listed();
  if (!entry.draining || entry.leaves_in <= duration(0)) {
    row.leaves_at.reset();
    return;
  }
  const timestamp leaves_at = ctx.now() + entry.leaves_in - kRegistryLag;
  row.leaves_at = std::min(row.leaves_at.value_or(leaves_at), leaves_at);
}

void ClearLeavingWorkers(const context& ctx) {
  std::set<work::unit_id> due;
  for (const auto& [worker, row] : ctx.state.leader.workers) {
    if (!row.leaves_at)
      continue;
    for (const auto& [id, index] : LoadOf(ctx, worker).tasks) {
      if (MustStop(ctx, id, *row.leaves_at))
        due.insert(id);
    }
  }
  for (const work::unit_id& id : due)
    StopUnit(ctx, id, "worker leaves");
}

}  // namespace parsleyhitch::dispatch
