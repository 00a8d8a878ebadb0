// Reducers for jobs: submission, placement, preemption, cancellation, and the
// progress and end of gangs from the reports of their members.

#include <algorithm>
#include <set>
#include <utility>

#include "scheduler/capacity.h"
#include "scheduler/ejection.h"
#include "scheduler/fold.h"
#include "scheduler/guarantees.h"
#include "scheduler/job_rules.h"
#include "scheduler/manifest_rules.h"

namespace parsleyhitch::scheduler {

namespace {

std::vector<model::worker_id> WorkersOf(const model::placement& placed) {
  std::vector<model::worker_id> workers;
  for (const model::member& each : placed.members)
    workers.push_back(each.worker);
  return workers;
}

model::job_status WithPhase(const model::job_status& job,
                            model::job_phase phase,
                            model::stop_reason reason,
                            model::timestamp since) {
  return {.spec = job.spec,
          .phase = phase,
          .reason = reason,
          .failed_attempts = job.failed_attempts,
          .submitted = job.submitted,
          .submitted_at = job.submitted_at,
          .since = since};
}

model::job_status WithFailedAttempt(const model::job_status& job) {
  return {.spec = job.spec,
          .phase = job.phase,
          .reason = job.reason,
          .failed_attempts = job.failed_attempts + 1,
          .submitted = job.submitted,
          .submitted_at = job.submitted_at,
          .since = job.since};
}

// Moves a job to a phase and updates the queue and the set of ended jobs, which
// keeps the `limits.finished_jobs_kept` newest.
fold_step EnterPhase(const fold_context& context,
                     fold_step step,
                     const model::job_id& id,
                     model::job_phase phase,
                     model::stop_reason reason) {
  const model::job_status old = *step.ledger.jobs.Find(id);
  if (old.phase == model::job_phase::kWaiting)
    step.ledger.waiting.erase(QueuePositionOf(id, old));
  step.ledger.jobs.Put(id, WithPhase(old, phase, reason, step.ledger.clock));
  if (phase == model::job_phase::kWaiting)
    step.ledger.waiting.insert(QueuePositionOf(id, old));
  if (!IsTerminalPhase(phase))
    return step;
  step.ledger.ended.insert({step.ledger.clock, id});
  while (step.ledger.ended.size() > context.limits.finished_jobs_kept) {
    const model::job_id oldest = step.ledger.ended.begin()->second;
    const model::job_spec& spec = step.ledger.jobs.Find(oldest)->spec;
    step.ledger.job_keys.Erase({.owner = spec.owner, .key = spec.key});
    step.ledger.jobs.Erase(oldest);
    step.ledger.ended.erase(step.ledger.ended.begin());
  }
  return step;
}

// True when the worker has room for a member of the placement. The reservation
// of a guarantee that the placement claims is available to it.
bool HasRoom(const fold_context& context,
             const model::ledger& ledger,
             const model::placement& placed,
             const model::worker_id& worker) {
  if (FreeAcceleratorsOf(ledger, worker) < placed.accelerators)
    return false;
  if (!placed.firm)
    return true;
  const model::capacity use = UseOf(ledger, worker);
  const std::uint32_t total = ledger.workers.Find(worker)->spec.accelerators;
  const std::uint32_t own = placed.claims ? placed.accelerators : 0;
  const model::capacity others{
      .firm = use.firm, .soft = use.soft, .reserved = use.reserved - own};
  return context.behaviour.leaves_guarantees(others, total,
                                             placed.accelerators);
}

bool SatisfyAdjacency(const model::ledger& ledger,
                      const std::vector<model::worker_id>& workers,
                      model::adjacency nearness) {
  const model::worker_spec& first = ledger.workers.Find(workers.front())->spec;
  return std::ranges::all_of(workers, [&](const model::worker_id& worker) {
    const model::worker_spec& spec = ledger.workers.Find(worker)->spec;
    if (nearness == model::adjacency::kAny)
      return true;
    if (spec.failure_domain != first.failure_domain)
      return false;
    return nearness == model::adjacency::kFailureDomain ||
           spec.rack == first.rack;
  });
}

bool AreDistinctAndLive(const model::ledger& ledger,
                        const std::vector<model::worker_id>& workers) {
  std::set<model::worker_id> seen;
  return std::ranges::all_of(workers, [&](const model::worker_id& worker) {
    const model::worker_status* status = ledger.workers.Find(worker);
    return status != nullptr && status->phase == model::worker_phase::kLive &&
           seen.insert(worker).second;
  });
}

bool HasReservationsOnAll(const model::ledger& ledger,
                          const model::guarantee_id& id,
                          const std::vector<model::worker_id>& workers) {
  const std::vector<model::worker_id>& reserved =
      ledger.guarantees.Find(id)->workers;
  return std::ranges::all_of(workers, [&](const model::worker_id& worker) {
    return std::ranges::count(reserved, worker) > 0;
  });
}

// The placement of the job on the workers. It claims a guarantee only if that
// has reservations on all of them.
model::placement ProposedPlacement(
    const model::ledger& ledger,
    const model::job_spec& spec,
    model::fence position,
    const std::vector<model::worker_id>& workers) {
  std::optional<model::guarantee_id> claims =
      FindClaimableGuarantee(ledger, spec, {});
  if (claims && !HasReservationsOnAll(ledger, *claims, workers))
    claims.reset();
  std::vector<model::member> members;
  members.reserve(workers.size());
  for (const model::worker_id& worker : workers)
    members.push_back({.worker = worker});
  return {.token = position,
          .accelerators = spec.capacity.accelerators,
          .firm = !spec.preemptible,
          .claims = claims,
          .members = std::move(members)};
}

bool AllTerminal(const model::placement& placed) {
  return std::ranges::all_of(placed.members, [](const auto& each) {
    return IsTerminalState(each.state);
  });
}

bool AllFinished(const model::placement& placed) {
  return std::ranges::all_of(placed.members, [](const auto& each) {
    return each.state == model::task_state::kFinished;
  });
}

model::placement WithMemberState(const model::placement& placed,
                                 const model::worker_id& worker,
                                 model::task_state state) {
  std::vector<model::member> members;
  members.reserve(placed.members.size());
  for (const model::member& each : placed.members) {
    members.push_back({.worker = each.worker,
                       .state = each.worker == worker ? state : each.state});
  }
  return {.token = placed.token,
          .accelerators = placed.accelerators,
          .firm = placed.firm,
          .claims = placed.claims,
          .members = std::move(members)};
}

// Adds a finished run to the ratio of actual to declared run time of the job's
// kind, a moving average in thousandths.
model::ledger UpdateRunTimeEstimate(model::ledger ledger,
                                    const model::job_status& job) {
  constexpr std::int64_t kPermille = 1000;
  constexpr std::uint32_t kAveragedRuns = 8;
  const model::work_kind kind{.owner = job.spec.owner, .kind = job.spec.kind};
  const std::int64_t ran = (ledger.clock - job.since).count();
  const std::int64_t sample =
      ran * kPermille / job.spec.declared_run_time.count();
  const model::run_time_estimate* old = ledger.estimates.Find(kind);
  const std::uint32_t samples = old == nullptr ? 0 : old->samples;
  const std::int64_t weight = std::min(samples, kAveragedRuns - 1);
  const std::int64_t before = old == nullptr ? 0 : old->ratio_permille;
  const std::int64_t ratio = (before * weight + sample) / (weight + 1);
  ledger.estimates.Put(kind,
                       {.ratio_permille = static_cast<std::uint32_t>(ratio),
                        .samples = samples + 1});
  return ledger;
}

// The phase of a job whose gang has stopped without finishing.
model::job_phase PhaseAfterStop(const fold_context& context,
                                const model::job_status& job) {
  if (job.reason == model::stop_reason::kCancelled)
    return model::job_phase::kCancelled;
  if (job.failed_attempts >= context.limits.max_attempts)
    return model::job_phase::kFailed;
  return model::job_phase::kWaiting;
}

// Ends a placement whose members have all ended.
fold_step EndPlacement(const fold_context& context,
                       fold_step step,
                       const model::job_id& id) {
  const model::placement placed = *step.ledger.placements.Find(id);
  const model::job_status job = *step.ledger.jobs.Find(id);
  step.ledger.placements.Erase(id);
  if (placed.claims)
    step = ReleaseClaim(std::move(step), id, placed);
  step = RetryUnmetGuarantees(std::move(step));
  if (AllFinished(placed)) {
    step.ledger = UpdateRunTimeEstimate(std::move(step.ledger), job);
    return EnterPhase(context, std::move(step), id, model::job_phase::kFinished,
                      model::stop_reason::kNone);
  }
  return EnterPhase(context, std::move(step), id, PhaseAfterStop(context, job),
                    job.reason);
}

fold_step StopGang(const fold_context& context,
                   fold_step step,
                   const model::job_id& id,
                   model::stop_reason reason) {
  step = EnterPhase(context, std::move(step), id, model::job_phase::kStopping,
                    reason);
  const model::placement& placed = *step.ledger.placements.Find(id);
  step.changes.push_back(job_changed{.job = id, .workers = WorkersOf(placed)});
  return step;
}

// Advances the job's phase after a member's state changed. The gang starts and
// ends as a whole.
fold_step AdvanceGang(const fold_context& context,
                      fold_step step,
                      const model::job_id& id) {
  const model::placement placed = *step.ledger.placements.Find(id);
  const model::job_phase phase = step.ledger.jobs.Find(id)->phase;
  if (AllTerminal(placed))
    return EndPlacement(context, std::move(step), id);
  if (phase == model::job_phase::kHolding &&
      AllReached(placed, model::task_state::kHeld)) {
    step = EnterPhase(context, std::move(step), id, model::job_phase::kStarting,
                      model::stop_reason::kNone);
    step.changes.push_back(
        job_changed{.job = id, .workers = WorkersOf(placed)});
  }
  if (phase == model::job_phase::kStarting &&
      AllReached(placed, model::task_state::kRunning)) {
    return EnterPhase(context, std::move(step), id, model::job_phase::kRunning,
                      model::stop_reason::kNone);
  }
  return step;
}

model::stop_reason StopReasonFor(model::task_state state) {
  return state == model::task_state::kFailed ? model::stop_reason::kMemberFailed
                                             : model::stop_reason::kMemberLost;
}

// Sets one member's state and advances its gang. A member that ends releases
// its accelerators; if it did not finish, the whole gang is stopped.
fold_step SetMemberState(const fold_context& context,
                         fold_step step,
                         const model::job_id& id,
                         const model::worker_id& worker,
                         model::task_state state) {
  const model::placement old = *step.ledger.placements.Find(id);
  step.ledger.placements.Put(id, WithMemberState(old, worker, state));
  if (!IsTerminalState(state))
    return AdvanceGang(context, std::move(step), id);
  step.ledger = ChangeAllocation(std::move(step.ledger), id, old, worker,
                                 allocation_change::kRelease);
  step.changes.push_back(job_changed{.job = id, .workers = {worker}});
  const bool stopping =
      step.ledger.jobs.Find(id)->phase == model::job_phase::kStopping;
  if (state != model::task_state::kFinished && !stopping) {
    if (state == model::task_state::kFailed)
      step.ledger.jobs.Put(id, WithFailedAttempt(*step.ledger.jobs.Find(id)));
    step = StopGang(context, std::move(step), id, StopReasonFor(state));
  }
  return AdvanceGang(context, std::move(step), id);
}

// The member that the report updates; null when the report is stale or does not
// advance the member's state.
const model::member* MemberToUpdate(const model::ledger& ledger,
                                    const model::worker_id& worker,
                                    const model::task_report& report) {
  const model::placement* placed = ledger.placements.Find(report.job);
  if (placed == nullptr || placed->token != report.token)
    return nullptr;
  const model::member* member = MemberOn(*placed, worker);
  const bool advances = member != nullptr && !IsTerminalState(member->state) &&
                        member->state < report.state;
  return advances ? member : nullptr;
}

// Counts a failure of the worker and ejects it once there are
// `limits.worker_failures_to_eject` in a row, for longer each time.
model::ledger CountTaskFailure(const fold_context& context,
                               model::ledger ledger,
                               const model::worker_id& worker,
                               const model::job_id& job) {
  const model::worker_status old = *ledger.workers.Find(worker);
  const std::uint32_t failures = old.failures + 1;
  const model::duration ejection = EjectionDuration(
      context.limits, failures, context.limits.worker_failures_to_eject);
  const bool ejected = ejection > model::duration::zero();
  const model::timestamp until =
      ejected ? ledger.clock + ejection : old.ejected_until;
  return PutWorker(std::move(ledger), {.spec = old.spec,
                                       .phase = old.phase,
                                       .suspected_by = old.suspected_by,
                                       .failures = failures,
                                       .last_failed = job,
                                       .ejected_until = until});
}

model::ledger ResetFailures(model::ledger ledger,
                            const model::worker_id& worker) {
  const model::worker_status old = *ledger.workers.Find(worker);
  if (old.failures == 0)
    return ledger;
  return PutWorker(
      std::move(ledger),
      {.spec = old.spec, .phase = old.phase, .suspected_by = old.suspected_by});
}

// Updates the worker's failure count from a report. Reservations are moved off
// a worker that is ejected, so that no guarantee depends on it.
fold_step UpdateWorkerFailures(const fold_context& context,
                               fold_step step,
                               const model::worker_id& worker,
                               const model::task_report& report) {
  if (report.state == model::task_state::kFinished) {
    step.ledger = ResetFailures(std::move(step.ledger), worker);
    return step;
  }
  if (report.state != model::task_state::kFailed &&
      report.state != model::task_state::kRefused) {
    return step;
  }
  step.ledger =
      CountTaskFailure(context, std::move(step.ledger), worker, report.job);
  if (step.ledger.workers.Find(worker)->ejected_until <= step.ledger.clock)
    return step;
  return MoveReservationsOff(std::move(step), worker);
}

}  // namespace

namespace detail {

record_result FoldRecord(const fold_context&,
                         fold_step step,
                         model::fence position,
                         const model::job_submitted& record) {
  model::findings faults = CheckJob(record.spec, step.ledger);
  if (!faults.empty())
    return {.step = std::move(step), .faults = std::move(faults)};
  const model::scoped_key key{.owner = record.spec.owner,
                              .key = record.spec.key};
  if (step.ledger.jobs.Contains(record.job) ||
      step.ledger.job_keys.Contains(key))
    return Reject(std::move(step), "/key", "the job is already known");
  const model::job_status job{.spec = record.spec,
                              .submitted = position,
                              .submitted_at = step.ledger.clock,
                              .since = step.ledger.clock};
  step.ledger.jobs.Put(record.job, job);
  if (!record.spec.key.empty())
    step.ledger.job_keys.Put(key, {.job = record.job});
  step.ledger.waiting.insert(QueuePositionOf(record.job, job));
  step.changes.push_back(job_changed{.job = record.job, .workers = {}});
  return Accept(std::move(step));
}

record_result FoldRecord(const fold_context& context,
                         fold_step step,
                         model::fence position,
                         const model::job_placed& record) {
  const model::job_status* job = step.ledger.jobs.Find(record.job);
  if (job == nullptr || job->phase != model::job_phase::kWaiting)
    return Reject(std::move(step), "/job", "does not wait for a placement");
  const model::job_spec spec = job->spec;
  if (record.workers.size() != spec.capacity.gang_size ||
      record.workers.empty() ||
      !AreDistinctAndLive(step.ledger, record.workers) ||
      !SatisfyAdjacency(step.ledger, record.workers, spec.capacity.nearness)) {
    return Reject(std::move(step), "/workers", "can't hold the gang");
  }
  if (!WithinQuota(step.ledger, spec))
    return Reject(std::move(step), "/job", "is above its workspace's quota");
  const model::placement placed =
      ProposedPlacement(step.ledger, spec, position, record.workers);
  const bool room =
      std::ranges::all_of(record.workers, [&](const auto& worker) {
        return HasRoom(context, step.ledger, placed, worker);
      });
  if (!room)
    return Reject(std::move(step), "/workers", "have no room left");
  if (placed.claims)
    step.ledger =
        MarkClaimed(std::move(step.ledger), *placed.claims, record.job, placed);
  step.ledger.placements.Put(record.job, placed);
  for (const model::worker_id& worker : record.workers)
    step.ledger = ChangeAllocation(std::move(step.ledger), record.job, placed,
                                   worker, allocation_change::kAllocate);
  step = EnterPhase(context, std::move(step), record.job,
                    model::job_phase::kHolding, model::stop_reason::kNone);
  step.changes.push_back(
      job_changed{.job = record.job, .workers = record.workers});
  return Accept(std::move(step));
}

record_result FoldRecord(const fold_context& context,
                         fold_step step,
                         model::fence,
                         const model::job_preempted& record) {
  const model::placement* placed = step.ledger.placements.Find(record.job);
  if (placed == nullptr || placed->token != record.token || placed->firm)
    return Reject(std::move(step), "/job", "has no such preemptible placement");
  if (!CanBeStopped(step.ledger.jobs.Find(record.job)->phase))
    return Reject(std::move(step), "/job", "is already stopping");
  return Accept(StopGang(context, std::move(step), record.job,
                         model::stop_reason::kPreempted));
}

record_result FoldRecord(const fold_context& context,
                         fold_step step,
                         model::fence,
                         const model::job_cancelled& record) {
  const model::job_status* job = step.ledger.jobs.Find(record.job);
  if (job == nullptr)
    return Reject(std::move(step), "/job", "no such job");
  if (IsTerminalPhase(job->phase))
    return Reject(std::move(step), "/job", "has already ended");
  if (job->phase == model::job_phase::kWaiting) {
    return Accept(EnterPhase(context, std::move(step), record.job,
                             model::job_phase::kCancelled,
                             model::stop_reason::kCancelled));
  }
  return Accept(StopGang(context, std::move(step), record.job,
                         model::stop_reason::kCancelled));
}

record_result FoldRecord(const fold_context& context,
                         fold_step step,
                         model::fence,
                         const model::tasks_reported& record) {
  for (const model::task_report& report : record.tasks) {
    if (MemberToUpdate(step.ledger, record.worker, report) == nullptr)
      continue;
    step =
        UpdateWorkerFailures(context, std::move(step), record.worker, report);
    step = SetMemberState(context, std::move(step), report.job, record.worker,
                          report.state);
  }
  return Accept(std::move(step));
}

fold_step StopGangsOn(const fold_context& context,
                      fold_step step,
                      const model::worker_id& worker) {
  const std::set<model::job_id>* present =
      step.ledger.jobs_by_worker.Find(worker);
  if (present == nullptr)
    return step;
  const std::set<model::job_id> jobs = *present;
  for (const model::job_id& job : jobs)
    step = SetMemberState(context, std::move(step), job, worker,
                          model::task_state::kStopped);
  return step;
}

}  // namespace detail

}  // namespace parsleyhitch::scheduler
