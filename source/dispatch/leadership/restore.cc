// Restores the jobs of a new leader from the records and units. Units that an
// earlier leader placed count as placed until the listings of their workers
// show otherwise.

#include <algorithm>
#include <utility>

#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/loads.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/leadership/leadership.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

std::vector<member> RestoredMembers(const work::unit_progress& saved) {
  std::vector<member> members;
  for (const work::worker_id& worker : saved.workers) {
    members.push_back({.worker = worker, .state = member_state::kUnverified});
  }
  return members;
}

// The failure of a later attempt may have been recorded while an earlier one
// counted as placed.
std::uint64_t HighestAttemptIn(const work::unit_progress& saved) {
  return saved.failed_attempts.empty()
             ? saved.attempt
             : std::max(saved.attempt, saved.failed_attempts.back());
}

// Adds the restored unit's members to the load of their workers.
void AddRestoredLoad(const context& ctx,
                     const work::unit_id& id,
                     const unit& restored,
                     const work::step_spec& step) {
  for (std::uint32_t i = 0; i < restored.members.size(); ++i) {
    const work::worker_id& worker = restored.members[i].worker;
    AddToLoad(ctx, worker, id, i, NeedOf(step));
    // The worker's registry entry has not been read yet.
    if (!ctx.state.leader.workers.Contains(worker))
      AddUnlistedWorker(ctx, worker);
  }
}

void RestoreUnit(const context& ctx,
                 const work::job_id& id,
                 const work::unit_progress& saved) {
  const active_job& job = *ctx.state.leader.jobs.Find(id);
  if (saved.step >= ContentOf(job).request.steps.size())
    return;
  const work::step_spec& step = ContentOf(job).request.steps[saved.step];
  const work::unit_id unit_id = work::UnitOf(id, saved);
  unit restored{.phase = saved.done              ? unit_phase::kDone
                         : saved.workers.empty() ? unit_phase::kWaiting
                                                 : unit_phase::kPlaced,
                .attempt = saved.attempt,
                .highest_attempt = HighestAttemptIn(saved),
                .checkpoint = saved.checkpoint,
                .members = RestoredMembers(saved),
                .failed = FailedAttemptsIn(saved),
                .last_loss_at = ctx.now(),
                .since = ctx.now()};
  AddRestoredLoad(ctx, unit_id, restored, step);
  ctx.state.leader.units.Put(unit_id, std::move(restored));
  RestoreLosses(ctx, unit_id, saved);
}

// The units of the job as earlier leaders stored them.
std::vector<work::unit_progress> StoredUnitsOf(const context& ctx,
                                               const work::job_id& id) {
  const auto& stored = ctx.state.leader.stored_units;
  std::vector<work::unit_progress> units;
  for (auto at = stored.LowerBound({.job = id});
       at != stored.end() && at->first.job == id; ++at)
    units.push_back(at->second);
  return units;
}

// True for a unit of which a task has run for certain.
bool HasRun(const work::unit_progress& saved) {
  return saved.done || saved.failures > 0 || !saved.checkpoint.empty();
}

void RestoreJob(const context& ctx,
                const work::job_id& id,
                const records::stored_job& entry) {
  active_job job{.content = entry.content,
                 .accepted = entry.accepted,
                 .phase = entry.phase};
  const std::vector<work::unit_progress> units = StoredUnitsOf(ctx, id);
  // The unit's progress was stored, and the job's was not.
  const bool phase_missing = job.phase == work::job_phase::kQueued &&
                             std::ranges::any_of(units, HasRun);
  if (phase_missing)
    job.phase = work::job_phase::kRunning;
  ctx.state.leader.jobs.Put(id, job);
  if (phase_missing)
    NoteJobChanged(ctx, id);
  for (const work::unit_progress& each : units) {
    const step_key key{each.occurrence, each.step};
    const bool known = each.step < ContentOf(job).request.steps.size();
    if (known && job.opened.insert(key).second)
      CreateUnits(ctx, id, key, ContentOf(job).request.steps[each.step]);
  }
  for (const work::unit_progress& each : units)
    RestoreUnit(ctx, id, each);
  ctx.state.leader.jobs.Put(id, job);
  if (records::PhaseOf(entry) == work::job_phase::kCancelled)
    CloseJob(ctx, id, work::job_phase::kCancelled);
  else
    FinishSteps(ctx, id);
}

// Takes over the records of earlier leaders, and deletes those of closed jobs,
// which their leader did not come to delete.
void RecordStoredUnits(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  for (const auto& [id, progress] : leader.stored_units) {
    leader.recorded_units.insert(id);
    const records::stored_job* entry =
        records::FindJob(ctx.state.ledger, id.job);
    // The records of a job that has none were deleted after it was closed.
    if (entry == nullptr || work::IsClosed(entry->phase))
      NoteUnitChanged(ctx, id);
  }
}

}  // namespace

void RestoreJobs(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  leader.restored = true;
  std::vector<work::job_id> open;
  for (const auto& [id, entry] : ctx.state.ledger.jobs) {
    if (entry.content.Get() != nullptr && !work::IsClosed(entry.phase))
      open.push_back(id);
  }
  RestoreAdmissions(ctx);
  RecordStoredUnits(ctx);
  for (const work::job_id& id : open)
    RestoreJob(ctx, id, *ctx.state.ledger.jobs.Find(id));
  leader.stored_units = {};
  leader.plan_due = true;
  ctx.Log("jobs_restored", ctx.env.self.value(),
          {Field("epoch", leader.epoch), Field("open", open.size()),
           Field("took", ctx.now() - leader.elected_at)});
}

}  // namespace parsleyhitch::dispatch
