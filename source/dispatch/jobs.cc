// The leader's jobs: which steps are open and which units are done.

#include <algorithm>
#include <string>
#include <utility>

#include "dispatch/names.h"
#include "dispatch/parts.h"
#include "dispatch/steps.h"

namespace parsleyhitch::dispatch {

namespace {

bool IsDue(const context& ctx, const live_job& job, std::uint32_t occurrence) {
  const work::schedule& when = ContentOf(job).request.when;
  if (when.occurrences == 0)
    return true;
  return ctx.now() >= when.first_due + occurrence * when.interval;
}

bool DependenciesDone(const live_job& job, const step_key& key) {
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

bool IsFinished(const live_job& job) {
  return job.finished.size() ==
         Occurrences(job) * ContentOf(job).request.steps.size();
}

// Creates the units of every step whose turn has come.
void OpenSteps(const context& ctx, const work::job_id& id) {
  live_job job = *ctx.state.mine.jobs.Find(id);
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
      job.opened.insert(key);
      opened = true;
    }
  }
  if (!opened)
    return;
  ctx.state.mine.jobs.Put(id, std::move(job));
  ctx.state.mine.plan_due = true;
}

void AddJob(const context& ctx,
            const work::job_id& id,
            const records::stored_job& entry) {
  live_job job{.content = entry.content, .accepted = entry.accepted};
  ctx.state.mine.jobs.Put(id, std::move(job));
  ctx.Log("job_taken", id.value(),
          {Field("accepted_at", entry.accepted),
           Field("steps", entry.content.Get()->request.steps.size()),
           Field("priority", entry.content.Get()->priority)});
  OpenSteps(ctx, id);
}

// A closed job is kept until its end is read back from the store.
void ForgetIfDone(const context& ctx, const work::job_id& id) {
  const live_job* job = ctx.state.mine.jobs.Find(id);
  if (job == nullptr || !work::IsClosed(job->phase))
    return;
  const records::stored_job* entry = records::FindJob(ctx.state.ledger, id);
  const work::job_progressed* saved =
      entry == nullptr ? nullptr : entry->progress.Get();
  if (saved == nullptr || !work::IsClosed(saved->phase))
    return;
  bool has_units = false;
  ForUnits(ctx, id,
           [&](const work::unit_id&, const unit&) { has_units = true; });
  if (!has_units)
    ctx.state.mine.jobs.Erase(id);
}

}  // namespace

void CreateUnits(const context& ctx,
                 const work::job_id& job,
                 const step_key& key,
                 const work::step_spec& step) {
  const std::uint32_t units = step.gang ? 1 : step.tasks;
  for (std::uint32_t index = 0; index < units; ++index) {
    ctx.state.mine.units.Put({.job = job,
                              .occurrence = key.first,
                              .step = key.second,
                              .index = index},
                             {.since = ctx.now()});
  }
}

// Marks steps whose units are all done, and closes a job that has no other.
void FinishSteps(const context& ctx, const work::job_id& id) {
  live_job job = *ctx.state.mine.jobs.Find(id);
  for (const step_key& key : job.opened) {
    if (!job.finished.contains(key) && AllUnitsDone(ctx, id, key))
      job.finished.insert(key);
  }
  const bool finished = IsFinished(job);
  ctx.state.mine.jobs.Put(id, std::move(job));
  if (finished)
    CloseJob(ctx, id, work::job_phase::kCompleted);
  else
    OpenSteps(ctx, id);
}

const work::step_spec& StepOf(const live_job& job, const work::unit_id& id) {
  return ContentOf(job).request.steps[id.step];
}

std::uint32_t MembersOf(const work::step_spec& step) {
  return step.gang ? step.tasks : 1;
}

work::resources NeedOf(const work::step_spec& step) {
  if (!step.fills_idle)
    return step.need;
  return {.memory_mb = step.need.memory_mb,
          .accelerators = step.need.accelerators};
}

work::unit_id UnitOf(const live_job& job, const work::task_id& task) {
  const auto& steps = ContentOf(job).request.steps;
  const bool gang = task.step < steps.size() && steps[task.step].gang;
  return {.job = task.job,
          .occurrence = task.occurrence,
          .step = task.step,
          .index = gang ? 0 : task.index};
}

void OnJobFolded(const context& ctx, const work::job_id& id) {
  const records::stored_job* entry = records::FindJob(ctx.state.ledger, id);
  if (entry == nullptr)
    return;
  const live_job* job = ctx.state.mine.jobs.Find(id);
  const bool closed = work::IsClosed(records::PhaseOf(*entry));
  if (job == nullptr && !closed) {
    AddJob(ctx, id, *entry);
    return;
  }
  if (job != nullptr && entry->cancelled && !work::IsClosed(job->phase))
    CloseJob(ctx, id, work::job_phase::kCancelled);
  ForgetIfDone(ctx, id);
}

void OpenDueSteps(const context& ctx) {
  std::vector<work::job_id> timed;
  for (const auto& [id, job] : ctx.state.mine.jobs) {
    const bool has_times = ContentOf(job).request.when.occurrences > 0;
    if (has_times && !work::IsClosed(job.phase))
      timed.push_back(id);
  }
  for (const work::job_id& id : timed)
    OpenSteps(ctx, id);
}

void EnsureOpened(const context& ctx, const work::unit_id& id) {
  const live_job* known = ctx.state.mine.jobs.Find(id.job);
  const step_key key{id.occurrence, id.step};
  const bool missing = known != nullptr && !work::IsClosed(known->phase) &&
                       id.occurrence < Occurrences(*known) &&
                       !known->opened.contains(key);
  if (!missing)
    return;
  live_job job = *known;
  job.opened.insert(key);
  CreateUnits(ctx, id.job, key, ContentOf(job).request.steps[id.step]);
  ctx.state.mine.jobs.Put(id.job, std::move(job));
}

bool MayStart(const live_job& job, const work::unit_id& id) {
  return DependenciesDone(job, {id.occurrence, id.step});
}

void FinishUnit(const context& ctx, const work::unit_id& id) {
  leader_state& mine = ctx.state.mine;
  unit done = *mine.units.Find(id);
  if (done.phase == unit_phase::kDone)
    return;
  done.phase = unit_phase::kDone;
  mine.units.Put(id, std::move(done));
  mine.unsaved.insert(id.job);
  FinishSteps(ctx, id.job);
}

void CloseJob(const context& ctx,
              const work::job_id& id,
              work::job_phase phase) {
  leader_state& mine = ctx.state.mine;
  live_job job = *mine.jobs.Find(id);
  if (work::IsClosed(job.phase))
    return;
  job.phase = phase;
  const duration took = ctx.now() - ContentOf(job).submitted_at;
  mine.jobs.Put(id, std::move(job));
  mine.unsaved.insert(id);
  ctx.Log("job_closed", id.value(),
          {Field("phase", NameOf(phase)), Field("took", took)});
  ctx.Count("jobs_closed");
  std::vector<work::unit_id> units;
  ForUnits(ctx, id, [&](const work::unit_id& name, const unit&) {
    units.push_back(name);
  });
  for (const work::unit_id& name : units) {
    StopUnit(ctx, name, "job closed");
    DropIfEnded(ctx, name);
  }
}

void DropIfEnded(const context& ctx, const work::unit_id& id) {
  leader_state& mine = ctx.state.mine;
  const live_job* job = mine.jobs.Find(id.job);
  const unit* each = mine.units.Find(id);
  if (job == nullptr || each == nullptr || !work::IsClosed(job->phase))
    return;
  const bool ended = std::ranges::all_of(each->members, [](const member& one) {
    return one.state == member_state::kEnded;
  });
  if (!ended)
    return;
  mine.units.Erase(id);
  ForgetIfDone(ctx, id.job);
}

}  // namespace parsleyhitch::dispatch
