// The leader's jobs: which steps are open, which units are done, and what of it
// the store has to keep.

#include <algorithm>
#include <string>
#include <utility>

#include "dispatch/names.h"
#include "dispatch/parts.h"

namespace parsleyhitch::dispatch {

namespace {

const work::submission& ContentOf(const live_job& job) {
  return *job.content.Get();
}

std::uint32_t Occurrences(const live_job& job) {
  return std::max<std::uint32_t>(ContentOf(job).request.when.occurrences, 1);
}

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

template <typename Visit>
void ForUnits(const context& ctx, const work::job_id& job, Visit visit) {
  const auto& units = ctx.state.mine.units;
  for (auto at = units.From({.job = job}); at != units.end(); ++at) {
    if (at->first.job != job)
      break;
    visit(at->first, at->second);
  }
}

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

void AddJob(const context& ctx,
            const work::job_id& id,
            const records::job_entry& entry) {
  live_job job{.content = entry.content, .accepted = entry.accepted};
  ctx.state.mine.jobs.Put(id, std::move(job));
  ctx.Log("job_taken", id.value(),
          {Field("accepted_at", entry.accepted),
           Field("steps", entry.content.Get()->request.steps.size()),
           Field("priority", entry.content.Get()->priority)});
  OpenSteps(ctx, id);
}

std::vector<member> RestoredMembers(const context& ctx,
                                    const work::unit_progress& saved) {
  std::vector<member> members;
  for (const work::worker_id& worker : saved.workers) {
    members.push_back({.worker = worker,
                       .state = member_state::kUnverified,
                       .advanced_at = ctx.now()});
  }
  return members;
}

// Adds what the restored unit holds to its workers.
void LoadRestored(const context& ctx,
                  const work::unit_id& id,
                  const unit& restored,
                  const work::step_spec& step) {
  for (std::uint32_t i = 0; i < restored.members.size(); ++i) {
    const work::worker_id& worker = restored.members[i].worker;
    const worker_load* known = ctx.state.mine.loads.Find(worker);
    worker_load load = known == nullptr ? worker_load() : *known;
    load.tasks.insert({id, i});
    load.used = load.used + NeedOf(step);
    ctx.state.mine.loads.Put(worker, std::move(load));
    if (ctx.state.mine.workers.Contains(worker))
      continue;
    // Its place in the registry is not read yet.
    worker_row row{.is_listed = false, .unlisted_since = ctx.now()};
    row.lapsed_by = EarlierLeasesLapse(ctx);
    ctx.state.mine.workers.Put(worker, std::move(row));
  }
}

void RestoreUnit(const context& ctx,
                 const work::job_id& id,
                 const work::unit_progress& saved) {
  const live_job& job = *ctx.state.mine.jobs.Find(id);
  if (saved.step >= ContentOf(job).request.steps.size())
    return;
  const work::step_spec& step = ContentOf(job).request.steps[saved.step];
  const work::unit_id unit_name{.job = id,
                                .occurrence = saved.occurrence,
                                .step = saved.step,
                                .index = saved.index};
  unit restored{.phase = saved.done              ? unit_phase::kDone
                         : saved.workers.empty() ? unit_phase::kWaiting
                                                 : unit_phase::kPlaced,
                .failures = saved.failures,
                .attempt = saved.attempt,
                .checkpoint = saved.checkpoint,
                .members = RestoredMembers(ctx, saved),
                .restored_attempt = saved.attempt,
                .since = ctx.now()};
  if (saved.attempt_failed)
    restored.failed_attempts.insert(saved.attempt);
  LoadRestored(ctx, unit_name, restored, step);
  ctx.state.mine.units.Put(unit_name, std::move(restored));
}

void RestoreJob(const context& ctx,
                const work::job_id& id,
                const records::job_entry& entry) {
  live_job job{.content = entry.content, .accepted = entry.accepted};
  const work::job_progressed* saved = entry.progress.Get();
  if (saved != nullptr)
    job.phase = saved->phase;
  ctx.state.mine.jobs.Put(id, job);
  if (saved != nullptr) {
    for (const work::unit_progress& each : saved->units) {
      const step_key key{each.occurrence, each.step};
      const bool known = each.step < ContentOf(job).request.steps.size();
      if (known && job.opened.insert(key).second)
        CreateUnits(ctx, id, key, ContentOf(job).request.steps[each.step]);
    }
    for (const work::unit_progress& each : saved->units)
      RestoreUnit(ctx, id, each);
    ctx.state.mine.jobs.Put(id, job);
  }
  if (entry.cancelled)
    CloseJob(ctx, id, work::job_phase::kCancelled);
  else
    FinishSteps(ctx, id);
}

bool HasBegun(const unit& each) {
  return each.attempt > 0 || each.phase == unit_phase::kDone;
}

std::vector<work::worker_id> WorkersOf(const unit& each) {
  std::vector<work::worker_id> workers;
  if (each.phase != unit_phase::kPlaced)
    return workers;
  for (const member& one : each.members)
    workers.push_back(one.worker);
  return workers;
}

work::job_progressed ProgressOf(const context& ctx,
                                const work::job_id& id,
                                const live_job& job) {
  std::vector<work::unit_progress> units;
  if (!work::IsClosed(job.phase)) {
    ForUnits(ctx, id, [&](const work::unit_id& name, const unit& each) {
      if (!HasBegun(each))
        return;
      units.push_back(
          {.occurrence = name.occurrence,
           .step = name.step,
           .index = name.index,
           .done = each.phase == unit_phase::kDone,
           .failures = each.failures,
           .attempt = each.attempt,
           .attempt_failed = each.failed_attempts.contains(each.attempt),
           .checkpoint = each.checkpoint,
           .workers = WorkersOf(each)});
    });
  }
  return {.job = id, .phase = job.phase, .units = std::move(units)};
}

// A closed job is kept until its end is read back from the store.
void ForgetIfDone(const context& ctx, const work::job_id& id) {
  const live_job* job = ctx.state.mine.jobs.Find(id);
  if (job == nullptr || !work::IsClosed(job->phase))
    return;
  const records::job_entry* entry = records::FindJob(ctx.state.ledger, id);
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
  const records::job_entry* entry = records::FindJob(ctx.state.ledger, id);
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

void RestoreJobs(const context& ctx) {
  leader_state& mine = ctx.state.mine;
  mine.restored = true;
  std::vector<work::job_id> open;
  for (const auto& [id, entry] : ctx.state.ledger.jobs) {
    const work::job_progressed* saved = entry.progress.Get();
    const bool closed = saved != nullptr && work::IsClosed(saved->phase);
    if (entry.content.Get() != nullptr && !closed)
      open.push_back(id);
  }
  for (const work::job_id& id : open)
    RestoreJob(ctx, id, *ctx.state.ledger.jobs.Find(id));
  mine.plan_due = true;
  ctx.Log("jobs_restored", ctx.env.me.value(),
          {Field("epoch", mine.epoch), Field("open", open.size()),
           Field("took", ctx.now() - mine.elected_at)});
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

std::vector<work::record> TakeUnsaved(const context& ctx) {
  leader_state& mine = ctx.state.mine;
  std::vector<work::record> records;
  while (!mine.unsaved.empty() &&
         records.size() < ctx.limits().max_batch_records) {
    const work::job_id id = *mine.unsaved.begin();
    mine.unsaved.erase(mine.unsaved.begin());
    const live_job* job = mine.jobs.Find(id);
    if (job != nullptr)
      records.emplace_back(ProgressOf(ctx, id, *job));
  }
  return records;
}

}  // namespace parsleyhitch::dispatch
