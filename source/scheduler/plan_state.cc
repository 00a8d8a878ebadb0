// Capacity accounting of a plan, on top of the ledger's.

#include "scheduler/plan_state.h"

#include <algorithm>
#include <utility>

#include "scheduler/capacity.h"
#include "scheduler/guarantees.h"
#include "scheduler/job_rules.h"

namespace parsleyhitch::scheduler {

namespace {

std::uint32_t SaturatingSubtract(std::uint32_t value, std::uint32_t taken) {
  return value > taken ? value - taken : 0;
}

planned_use PlannedOn(const plan_state& plan, const model::worker_id& worker) {
  const planned_use* planned = plan.planned.Find(worker);
  return planned == nullptr ? planned_use{} : *planned;
}

// An ejected worker gets no jobs. After the ejection it gets one single-member
// job as a probe. A job is not placed again on the worker where it last failed.
bool AcceptsJob(const plan_state& plan,
                const placement_request& job,
                const model::worker_status& status) {
  if (status.ejected_until > plan.now)
    return false;
  if (status.last_failed == job.id)
    return false;
  if (status.failures < plan.rules->limits.worker_failures_to_eject)
    return true;
  return job.spec.capacity.gang_size == 1 &&
         !plan.ledger->jobs_by_worker.Contains(status.spec.worker);
}

bool EndsBeforeReservedStart(const plan_state& plan,
                             const model::job_spec& spec,
                             const model::worker_id& worker) {
  const model::timestamp* reserved_start = plan.reserved_start_at.Find(worker);
  if (reserved_start == nullptr)
    return true;
  return plan.now + ExpectedRunTime(*plan.ledger, spec) <= *reserved_start;
}

// Accelerators of a worker that firm work may take, not counting preemptible
// work there; 0 if the job needs more.
std::uint32_t FirmRoom(const plan_state& plan,
                       const model::job_spec& spec,
                       const model::worker_status& status) {
  const model::capacity use = UseOf(*plan.ledger, status.spec.worker);
  const planned_use planned = PlannedOn(plan, status.spec.worker);
  const model::capacity after{.firm = use.firm + planned.firm,
                              .soft = use.soft + planned.soft,
                              .reserved = use.reserved};
  const std::uint32_t total = status.spec.accelerators;
  const std::uint32_t wanted = spec.capacity.accelerators;
  if (after.firm + wanted > total)
    return 0;
  if (!plan.rules->leaves_guarantees(after, total, wanted))
    return 0;
  return std::max(wanted,
                  SaturatingSubtract(total, after.firm + after.reserved));
}

std::uint32_t FreeAfterPlan(const plan_state& plan,
                            const model::worker_id& worker) {
  const planned_use planned = PlannedOn(plan, worker);
  return SaturatingSubtract(FreeAcceleratorsOf(*plan.ledger, worker),
                            planned.firm + planned.soft);
}

plan_state AddPlannedUse(plan_state plan,
                         const model::worker_id& worker,
                         bool firm,
                         std::uint32_t accelerators) {
  const planned_use old = PlannedOn(plan, worker);
  plan.planned.Put(worker, {.firm = old.firm + (firm ? accelerators : 0),
                            .soft = old.soft + (firm ? 0 : accelerators)});
  return plan;
}

// Preempts soft jobs on one worker until one member fits.
plan_state PreemptOn(plan_state plan,
                     const model::worker_id& worker,
                     std::uint32_t accelerators) {
  std::uint32_t room = FreeAfterPlan(plan, worker);
  const std::set<model::job_id>* tasks =
      plan.ledger->jobs_by_worker.Find(worker);
  if (tasks == nullptr)
    return plan;
  for (const model::job_id& job : *tasks) {
    if (room >= accelerators)
      return plan;
    const model::placement& placed = *plan.ledger->placements.Find(job);
    if (placed.firm)
      continue;
    room += placed.accelerators;
    const model::job_phase phase = plan.ledger->jobs.Find(job)->phase;
    if (!CanBeStopped(phase) || !plan.preempted.insert(job).second)
      continue;
    plan.records.emplace_back(
        model::job_preempted{.job = job, .token = placed.token});
  }
  return plan;
}

bool AllHaveRoom(const plan_state& plan,
                 const std::vector<model::worker_id>& workers,
                 std::uint32_t accelerators) {
  return std::ranges::all_of(workers, [&](const model::worker_id& worker) {
    return FreeAfterPlan(plan, worker) >= accelerators;
  });
}

}  // namespace

std::uint32_t RoomNow(const plan_state& plan,
                      const placement_request& job,
                      const model::worker_id& worker) {
  const model::worker_status& status = *plan.ledger->workers.Find(worker);
  if (!AcceptsJob(plan, job, status) ||
      !EndsBeforeReservedStart(plan, job.spec, worker))
    return 0;
  const std::uint32_t free = FreeAfterPlan(plan, worker);
  if (job.spec.preemptible)
    return free;
  return std::min(free, FirmRoom(plan, job.spec, status));
}

std::uint32_t RoomAfterPreemption(const plan_state& plan,
                                  const placement_request& job,
                                  const model::worker_id& worker) {
  const model::worker_status& status = *plan.ledger->workers.Find(worker);
  if (!AcceptsJob(plan, job, status))
    return 0;
  return FirmRoom(plan, job.spec, status);
}

bool QuotaAllows(const plan_state& plan, const model::job_spec& spec) {
  // The fold checks quotas along the whole chain of parent workspaces. This
  // check keeps a plan from proposing more than its own earlier placements
  // leave.
  if (plan.planned_by_workspace.Contains(spec.owner)) {
    const std::uint64_t planned = *plan.planned_by_workspace.Find(spec.owner);
    const std::uint64_t wanted =
        planned +
        std::uint64_t{spec.capacity.gang_size} * spec.capacity.accelerators;
    const model::job_spec combined{
        .owner = spec.owner,
        .capacity = {.gang_size = 1,
                     .accelerators = static_cast<std::uint32_t>(wanted)}};
    return WithinQuota(*plan.ledger, combined);
  }
  return WithinQuota(*plan.ledger, spec);
}

plan_state PlaceOn(plan_state plan,
                   const placement_request& job,
                   const std::vector<model::worker_id>& workers) {
  const model::job_spec& spec = job.spec;
  for (const model::worker_id& worker : workers) {
    plan = AddPlannedUse(std::move(plan), worker, !spec.preemptible,
                         spec.capacity.accelerators);
  }
  const std::uint64_t* planned = plan.planned_by_workspace.Find(spec.owner);
  const std::uint64_t before = planned == nullptr ? 0 : *planned;
  plan.planned_by_workspace.Put(
      spec.owner, before + std::uint64_t{spec.capacity.gang_size} *
                               spec.capacity.accelerators);
  plan.records.emplace_back(
      model::job_placed{.job = job.id, .workers = workers});
  return plan;
}

plan_state PreemptFor(plan_state plan,
                      const model::job_spec& spec,
                      const std::vector<model::worker_id>& workers) {
  for (const model::worker_id& worker : workers) {
    plan = PreemptOn(std::move(plan), worker, spec.capacity.accelerators);
    const std::uint32_t freed =
        std::min(FreeAfterPlan(plan, worker), spec.capacity.accelerators);
    plan = AddPlannedUse(std::move(plan), worker, true, freed);
  }
  return plan;
}

std::optional<model::guarantee_id> GuaranteeFor(const plan_state& plan,
                                                const model::job_spec& spec) {
  return FindClaimableGuarantee(*plan.ledger, spec, plan.claimed);
}

plan_state ClaimGuarantee(plan_state plan,
                          const placement_request& job,
                          const model::guarantee_id& id) {
  const model::shape& capacity = job.spec.capacity;
  plan.claimed.insert(id);
  const std::vector<model::worker_id>& reserved =
      plan.ledger->guarantees.Find(id)->workers;
  const std::vector<model::worker_id> workers(
      reserved.begin(),
      reserved.begin() + static_cast<std::ptrdiff_t>(capacity.gang_size));
  if (AllHaveRoom(plan, workers, capacity.accelerators))
    return PlaceOn(std::move(plan), job, workers);
  return PreemptFor(std::move(plan), job.spec, workers);
}

}  // namespace parsleyhitch::scheduler
