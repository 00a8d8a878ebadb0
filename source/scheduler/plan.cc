// The production placement policy.

#include "scheduler/plan.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "scheduler/job_rules.h"
#include "scheduler/plan_reserve.h"
#include "scheduler/plan_search.h"
#include "scheduler/plan_state.h"

namespace parsleyhitch::scheduler {

namespace {

// What a search for workers depends on, apart from the run time.
struct shape_key {
  const model::shape capacity;
  const bool preemptible = false;

  bool operator<(const shape_key& other) const {
    return std::tie(capacity.gang_size, capacity.accelerators,
                    capacity.nearness, preemptible) <
           std::tie(other.capacity.gang_size, other.capacity.accelerators,
                    other.capacity.nearness, other.preemptible);
  }
};

// Searches that failed in this plan, with the shortest run time that failed. A
// longer run time would fail too.
using failed_shapes = std::map<shape_key, model::duration>;

bool IsKnownToFail(const failed_shapes& failed,
                   const model::job_spec& spec,
                   model::duration run_time) {
  const auto found =
      failed.find({.capacity = spec.capacity, .preemptible = spec.preemptible});
  return found != failed.end() && run_time >= found->second;
}

void RecordFailed(failed_shapes& failed,
                  const model::job_spec& spec,
                  model::duration run_time) {
  const shape_key shape{.capacity = spec.capacity,
                        .preemptible = spec.preemptible};
  const auto [found, inserted] = failed.emplace(shape, run_time);
  if (!inserted)
    found->second = std::min(found->second, run_time);
}

std::vector<model::worker_id> FindWorkersNow(const plan_state& plan,
                                             const placement_request& job) {
  const model::shape& shape = job.spec.capacity;
  const headroom room = [&](const model::worker_id& worker) {
    return RoomNow(plan, job, worker);
  };
  return FindWorkers(*plan.ledger, shape, room, shape.accelerators, fit::kBest);
}

bool MayPreempt(const plan_state& plan, const model::job_status& job) {
  if (job.spec.preemptible)
    return false;
  if (job.spec.priority >= plan.rules->limits.urgent_priority)
    return true;
  return plan.now - job.submitted_at >= plan.rules->limits.defragment_after;
}

std::vector<model::worker_id> FindWorkersAfterPreemption(
    const plan_state& plan,
    const placement_request& job) {
  const headroom room = [&](const model::worker_id& worker) {
    return RoomAfterPreemption(plan, job, worker);
  };
  return FindWorkers(*plan.ledger, job.spec.capacity, room, 0, fit::kBest);
}

// For a job that does not fit now: preempts others for it, or reserves a start.
plan_state PreemptOrReserve(plan_state plan,
                            const model::job_id& id,
                            const model::job_status& status,
                            std::uint32_t& reserved_starts) {
  const placement_request job{.id = id, .spec = status.spec};
  if (MayPreempt(plan, status)) {
    const std::vector<model::worker_id> workers =
        FindWorkersAfterPreemption(plan, job);
    if (!workers.empty())
      return PreemptFor(std::move(plan), job.spec, workers);
  }
  if (reserved_starts == 0)
    return plan;
  --reserved_starts;
  return ReserveStart(std::move(plan), job);
}

// Jobs that claim a guarantee are planned first, so that no other job is placed
// on the capacity that they reclaim.
plan_state PlanGuarantees(plan_state plan, std::set<model::job_id>& handled) {
  std::uint32_t scanned = 0;
  for (const model::queue_position& position : plan.ledger->waiting) {
    if (++scanned > plan.rules->limits.plan_scan)
      break;
    const model::job_spec& spec = plan.ledger->jobs.Find(position.job)->spec;
    const std::optional<model::guarantee_id> id = GuaranteeFor(plan, spec);
    if (!id || !QuotaAllows(plan, spec))
      continue;
    plan = ClaimGuarantee(std::move(plan), {.id = position.job, .spec = spec},
                          *id);
    handled.insert(position.job);
  }
  return plan;
}

// Short jobs are planned before longer ones: they delay a longer job only
// briefly, but queued behind it they would wait for many times their own run
// time.
bool IsShortJob(const plan_state& plan, const model::job_status& job) {
  return job.spec.capacity.gang_size == 1 &&
         ExpectedRunTime(*plan.ledger, job.spec) <=
             plan.rules->limits.short_job;
}

plan_state PlanShortJobs(plan_state plan, std::set<model::job_id>& handled) {
  failed_shapes failed;
  std::uint32_t scanned = 0;
  for (const model::queue_position& position : plan.ledger->waiting) {
    if (++scanned > plan.rules->limits.plan_scan)
      break;
    const model::job_status& job = *plan.ledger->jobs.Find(position.job);
    const bool skipped =
        handled.contains(position.job) || !IsShortJob(plan, job) ||
        IsKnownToFail(failed, job.spec, model::duration::zero());
    if (skipped || !QuotaAllows(plan, job.spec))
      continue;
    const placement_request request{.id = position.job, .spec = job.spec};
    const std::vector<model::worker_id> workers = FindWorkersNow(plan, request);
    if (workers.empty()) {
      RecordFailed(failed, job.spec, model::duration::zero());
      continue;
    }
    plan = PlaceOn(std::move(plan), request, workers);
    handled.insert(position.job);
  }
  return plan;
}

}  // namespace

std::vector<model::record> PlanPlacements(const model::ledger& ledger,
                                          model::timestamp now,
                                          const plan_rules& rules) {
  std::set<model::job_id> handled;
  plan_state plan{.ledger = &ledger, .rules = &rules, .now = now};
  plan = PlanGuarantees(std::move(plan), handled);
  plan = PlanShortJobs(std::move(plan), handled);
  failed_shapes failed;
  std::uint32_t reserved_starts = rules.limits.reserved_starts;
  std::uint32_t scanned = 0;
  for (const model::queue_position& position : ledger.waiting) {
    if (++scanned > rules.limits.plan_scan)
      break;
    const model::job_status& job = *ledger.jobs.Find(position.job);
    if (handled.contains(position.job) || !QuotaAllows(plan, job.spec))
      continue;
    const model::duration run_time = ExpectedRunTime(ledger, job.spec);
    const bool known_to_fail = IsKnownToFail(failed, job.spec, run_time);
    const std::vector<model::worker_id> workers =
        known_to_fail
            ? std::vector<model::worker_id>()
            : FindWorkersNow(plan, {.id = position.job, .spec = job.spec});
    if (!workers.empty()) {
      plan = PlaceOn(std::move(plan), {.id = position.job, .spec = job.spec},
                     workers);
      continue;
    }
    RecordFailed(failed, job.spec, run_time);
    plan =
        PreemptOrReserve(std::move(plan), position.job, job, reserved_starts);
  }
  return std::move(plan.records);
}

}  // namespace parsleyhitch::scheduler
