// The leader's jobs: opening steps and finishing units.

#include <algorithm>
#include <string>
#include <utility>

#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/names.h"
#include "dispatch/orders/orders.h"
#include "dispatch/planning/urgent_reserve.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

bool IsDue(const context& ctx,
           const active_job& job,
           std::uint32_t occurrence) {
  const work::schedule& when = ContentOf(job).request.when;
  if (when.occurrences == 0)
    return true;
  return ctx.now() >= when.first_due + occurrence * when.interval;
}

bool DependenciesDone(const active_job& job, const step_key& key) {
  const work::step_spec& step = ContentOf(job).request.steps[key.second];
  return std::ranges::all_of(step.after, [&](std::uint32_t earlier) {
    return job.finished.contains({key.first, earlier});
  });
}

bool AllUnitsDone(const context& ctx,
                  const work::job_id& job,
                  const step_key& key) {
  bool done = true;
  ForUnits(ctx, job, [&](const work::unit_id& id, const unit& each) {
    if (id.occurrence == key.first && id.step == key.second)
      done = done && each.phase == unit_phase::kDone;
  });
  return done;
}

bool IsFinished(const active_job& job) {
  return job.finished.size() ==
         Occurrences(job) * ContentOf(job).request.steps.size();
}

// Opens every step that is due and whose dependencies are finished.
void OpenSteps(const context& ctx, const work::job_id& id) {
  active_job job = *ctx.state.leader.jobs.Find(id);
  if (work::IsClosed(job.phase))
    return;
  bool opened = false;
  const auto& steps = ContentOf(job).request.steps;
  for (std::uint32_t k = 0; k < Occurrences(job) && IsDue(ctx, job, k); ++k) {
    for (std::uint32_t i = 0; i < steps.size(); ++i) {
      const step_key key{k, i};
      if (job.opened.contains(key) || !DependenciesDone(job, key))
        continue;
      CreateUnits(ctx, id, key, steps[i]);
      NoteReadyUnits(ctx, job, steps[i]);
      job.opened.insert(key);
      opened = true;
    }
  }
  if (!opened)
    return;
  ctx.state.leader.jobs.Put(id, std::move(job));
  ctx.state.leader.plan_due = true;
}

void AddJob(const context& ctx,
            const work::job_id& id,
            const records::stored_job& entry) {
  active_job job{.content = entry.content, .accepted = entry.accepted};
  ctx.state.leader.jobs.Put(id, std::move(job));
  ctx.Log("job_added", id.value(),
          {Field("accepted_at", entry.accepted),
           Field("steps", entry.content.Get()->request.steps.size()),
           Field("priority", entry.content.Get()->priority)});
  OpenSteps(ctx, id);
}

// Erases a closed job once the record of its end has been read back from the
// store and its units are gone.
void EraseJobIfStored(const context& ctx, const work::job_id& id) {
  const active_job* job = ctx.state.leader.jobs.Find(id);
  if (job == nullptr || !work::IsClosed(job->phase))
    return;
  const records::stored_job* entry = records::FindJob(ctx.state.ledger, id);
  if (entry == nullptr || !work::IsClosed(entry->phase))
    return;
  bool has_units = false;
  ForUnits(ctx, id,
           [&](const work::unit_id&, const unit&) { has_units = true; });
  if (has_units)
    return;
  ctx.state.leader.jobs.Erase(id);
  DeleteUnitRecords(ctx, id);
}

// Ends the job as cancelled, also when it was closed otherwise before the
// cancellation was read: every entry shows the end that comes first in the
// records.
void CancelJob(const context& ctx, const work::job_id& id) {
  active_job job = *ctx.state.leader.jobs.Find(id);
  if (!work::IsClosed(job.phase)) {
    CloseJob(ctx, id, work::job_phase::kCancelled);
    return;
  }
  if (job.phase == work::job_phase::kCancelled)
    return;
  ctx.Log("job_cancelled_before_end", id.value(),
          {Field("phase", NameOf(job.phase))});
  job.phase = work::job_phase::kCancelled;
  ctx.state.leader.jobs.Put(id, std::move(job));
  NoteJobChanged(ctx, id);
}

}  // namespace

void CreateUnits(const context& ctx,
                 const work::job_id& job,
                 const step_key& key,
                 const work::step_spec& step) {
  const std::uint32_t units = step.gang ? 1 : step.tasks;
  for (std::uint32_t index = 0; index < units; ++index) {
    ctx.state.leader.units.Put({.job = job,
                                .occurrence = key.first,
                                .step = key.second,
                                .index = index},
                               {.since = ctx.now()});
  }
}

void FinishSteps(const context& ctx, const work::job_id& id) {
  active_job job = *ctx.state.leader.jobs.Find(id);
  for (const step_key& key : job.opened) {
    if (!job.finished.contains(key) && AllUnitsDone(ctx, id, key))
      job.finished.insert(key);
  }
  const bool finished = IsFinished(job);
  ctx.state.leader.jobs.Put(id, std::move(job));
  if (finished)
    CloseJob(ctx, id, work::job_phase::kCompleted);
  else
    OpenSteps(ctx, id);
}

const work::step_spec& StepOf(const active_job& job, const work::unit_id& id) {
  return ContentOf(job).request.steps[id.step];
}

std::uint32_t MembersOf(const work::step_spec& step) {
  return step.gang ? step.tasks : 1;
}

work::unit_id UnitOf(const active_job& job, const work::task_id& task) {
  const auto& steps = ContentOf(job).request.steps;
  const bool gang = task.step < steps.size() && steps[task.step].gang;
  return {.job = task.job,
          .occurrence = task.occurrence,
          .step = task.step,
          .index = gang ? 0 : task.index};
}

void OnJobRecord(const context& ctx, const work::job_id& id) {
  const records::stored_job* entry = records::FindJob(ctx.state.ledger, id);
  if (entry == nullptr)
    return;
  const active_job* job = ctx.state.leader.jobs.Find(id);
  const bool closed = work::IsClosed(records::PhaseOf(*entry));
  if (job == nullptr && !closed) {
    AddJob(ctx, id, *entry);
    return;
  }
  const bool cancelled =
      records::PhaseOf(*entry) == work::job_phase::kCancelled;
  if (job != nullptr && cancelled)
    CancelJob(ctx, id);
  EraseJobIfStored(ctx, id);
}

void OpenDueSteps(const context& ctx) {
  std::vector<work::job_id> timed;
  for (const auto& [id, job] : ctx.state.leader.jobs) {
    const bool has_times = ContentOf(job).request.when.occurrences > 0;
    if (has_times && !work::IsClosed(job.phase))
      timed.push_back(id);
  }
  for (const work::job_id& id : timed)
    OpenSteps(ctx, id);
}

void EnsureStepOpened(const context& ctx, const work::unit_id& id) {
  const active_job* known = ctx.state.leader.jobs.Find(id.job);
  const step_key key{id.occurrence, id.step};
  const bool missing = known != nullptr && !work::IsClosed(known->phase) &&
                       id.occurrence < Occurrences(*known) &&
                       !known->opened.contains(key);
  if (!missing)
    return;
  active_job job = *known;
  job.opened.insert(key);
  CreateUnits(ctx, id.job, key, ContentOf(job).request.steps[id.step]);
  ctx.state.leader.jobs.Put(id.job, std::move(job));
}

bool MayStart(const active_job& job, const work::unit_id& id) {
  return DependenciesDone(job, {id.occurrence, id.step});
}

void FinishUnit(const context& ctx, const work::unit_id& id) {
  leader_state& leader = ctx.state.leader;
  unit done = *leader.units.Find(id);
  if (done.phase == unit_phase::kDone)
    return;
  done.phase = unit_phase::kDone;
  done.since = ctx.now();
  leader.units.Put(id, std::move(done));
  NoteUnitChanged(ctx, id);
  FinishSteps(ctx, id.job);
}

void MarkJobStarted(const context& ctx, const work::job_id& id) {
  const active_job* known = ctx.state.leader.jobs.Find(id);
  if (known == nullptr || known->phase != work::job_phase::kQueued)
    return;
  active_job job = *known;
  job.phase = work::job_phase::kRunning;
  const duration waited = ctx.now() - ContentOf(job).submitted_at;
  ctx.Emit(work::observe_latency{.name = "job_wait", .value = waited});
  ctx.state.leader.jobs.Put(id, std::move(job));
  NoteJobChanged(ctx, id);
}

void CloseJob(const context& ctx,
              const work::job_id& id,
              work::job_phase phase) {
  leader_state& leader = ctx.state.leader;
  active_job job = *leader.jobs.Find(id);
  if (work::IsClosed(job.phase))
    return;
  job.phase = phase;
  const duration took = ctx.now() - ContentOf(job).submitted_at;
  leader.jobs.Put(id, std::move(job));
  NoteJobChanged(ctx, id);
  ctx.Log("job_closed", id.value(),
          {Field("phase", NameOf(phase)), Field("took", took)});
  ctx.Count("jobs_closed");
  std::vector<work::unit_id> units;
  ForUnits(ctx, id, [&](const work::unit_id& unit_id, const unit&) {
    units.push_back(unit_id);
  });
  for (const work::unit_id& unit_id : units) {
    // The tasks of a unit that is done have ended, all at once.
    if (leader.units.Find(unit_id)->phase != unit_phase::kDone)
      StopUnit(ctx, unit_id, "job closed");
    EraseUnitIfEnded(ctx, unit_id);
  }
}

void EraseUnitIfEnded(const context& ctx, const work::unit_id& id) {
  leader_state& leader = ctx.state.leader;
  const active_job* job = leader.jobs.Find(id.job);
  const unit* each = leader.units.Find(id);
  if (job == nullptr || each == nullptr || !work::IsClosed(job->phase))
    return;
  const bool ended = std::ranges::all_of(each->members, [](const member& one) {
    return one.state == member_state::kEnded;
  });
  if (!ended)
    return;
  leader.units.Erase(id);
  EraseJobIfStored(ctx, id.job);
}

}  // namespace parsleyhitch::dispatch
