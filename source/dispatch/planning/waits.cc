// Measures how long further jobs would wait, once a second. Heartbeats carry
// the result to the entries that accept jobs.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/loads.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/planning/planning.h"
#include "dispatch/store/store.h"
#include "placement/capacity_map.h"

namespace parsleyhitch::dispatch {

namespace {

constexpr duration kMeasurementInterval{1000};

std::map<work::service_id, policy::service_capacity> Capacities(
    const context& ctx) {
  std::map<work::service_id, policy::service_capacity> found;
  for (const auto& [worker, row] : ctx.state.leader.workers) {
    if (!IsSchedulable(row) || IsEvacuated(ctx, row.listed().failure_domain))
      continue;
    policy::service_capacity& service = found[row.listed().service];
    const work::resources free = placement::ElementwiseMax(
        row.listed().capacity - LoadOf(ctx, worker).used, {});
    service.all = service.all + row.listed().capacity;
    service.free = service.free + free;
    service.largest_free =
        placement::ElementwiseMax(service.largest_free, free);
  }
  return found;
}

std::vector<policy::queued_work> QueuedWork(const context& ctx) {
  std::vector<policy::queued_work> queued;
  for (const auto& [id, each] : ctx.state.leader.units) {
    if (each.phase == unit_phase::kDone)
      continue;
    const active_job& job = *ctx.state.leader.jobs.Find(id.job);
    const work::step_spec& step = StepOf(job, id);
    if (work::IsClosed(job.phase) || step.endless)
      continue;
    const bool waiting = each.phase == unit_phase::kWaiting;
    const duration ran = waiting ? duration(0) : ctx.now() - each.since;
    const work::resources need = NeedOf(step);
    const std::int64_t members = MembersOf(step);
    queued.push_back({.account = {.service = ContentOf(job).service,
                                  .owner = ContentOf(job).owner},
                      .priority = ContentOf(job).priority,
                      .need = {.cpu_millis = need.cpu_millis * members,
                               .memory_mb = need.memory_mb * members,
                               .accelerators = need.accelerators * members},
                      .run_time = std::max(step.estimate - ran, duration(0)),
                      .waiting = waiting});
  }
  return queued;
}

}  // namespace

void MeasureWaitsIfDue(const context& ctx) {
  const auto& expected_waits = ctx.env.behaviour.expected_waits;
  leader_state& leader = ctx.state.leader;
  if (!expected_waits) {
    leader.waits.clear();
    return;
  }
  // A new leader does not know yet which units run and which workers there are.
  if (!leader.restored || !leader.reconciled ||
      ctx.now() < leader.next_wait_measurement_at)
    return;
  leader.next_wait_measurement_at = ctx.now() + kMeasurementInterval;
  leader.waits = expected_waits(QueuedWork(ctx), Capacities(ctx));
  const duration longest =
      leader.waits.empty() ? duration(0) : leader.waits.front().wait;
  ctx.Emit(
      work::set_gauge{.name = "longest_expected_wait_ms",
                      .value = static_cast<std::uint64_t>(longest.count())});
}

}  // namespace parsleyhitch::dispatch
