// What workers' lists say of tasks, and what becomes of their units.

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "dispatch/loads.h"
#include "dispatch/names.h"
#include "dispatch/parts.h"
#include "dispatch/steps.h"

namespace parsleyhitch::dispatch {

namespace {

// All members of an attempt have ended without its unit being done.
void EndAttempt(const context& ctx, const work::unit_id& id) {
  leader_state& mine = ctx.state.mine;
  unit ended = *mine.units.Find(id);
  ended.phase = unit_phase::kWaiting;
  ended.members.clear();
  ended.since = ctx.now();
  mine.units.Put(id, std::move(ended));
  mine.unsaved.insert(id.job);
  mine.plan_due = true;
}

bool AllEnded(const unit& each) {
  return std::ranges::all_of(each.members, [](const member& one) {
    return one.state == member_state::kEnded;
  });
}

// The unit's member that runs the task on the worker, if any.
std::optional<std::uint32_t> FindMember(const unit& each,
                                        const work::unit_id& id,
                                        const work::task_id& task,
                                        const work::worker_id& worker) {
  const std::uint32_t index = task.index - id.index;
  if (task.index < id.index || index >= each.members.size())
    return {};
  if (each.members[index].worker != worker)
    return {};
  return index;
}

// The others can't go on without a member that is gone.
void StopOthers(const context& ctx, const work::unit_id& id) {
  const unit* each = ctx.state.mine.units.Find(id);
  if (each != nullptr && each->phase == unit_phase::kPlaced &&
      each->members.size() > 1)
    StopUnit(ctx, id, "member lost");
}

void NoteStray(const context& ctx,
               const work::worker_id& worker,
               const work::running_task& task,
               const work::resources& need) {
  const stray_id id{.worker = worker, .task = task.task};
  const stray* known = ctx.state.mine.strays.Find(id);
  if (known != nullptr && known->attempt == task.attempt)
    return;
  ctx.Warn("stray_found", NameOf(task.task),
           {Field("worker", worker.value()), Field("attempt", task.attempt)});
  ctx.state.mine.strays.Put(id, {.attempt = task.attempt, .need = need});
}

// Takes over a task that an earlier leader started without having it recorded.
bool Adopt(const context& ctx,
           const work::worker_id& worker,
           const work::running_task& task,
           const work::unit_id& id,
           const work::step_spec& step) {
  const unit* known = ctx.state.mine.units.Find(id);
  const bool adoptable = known != nullptr && !step.gang &&
                         known->phase == unit_phase::kWaiting &&
                         task.attempt > known->attempt;
  if (!adoptable)
    return false;
  unit adopted = *known;
  adopted.phase = unit_phase::kPlaced;
  adopted.attempt = task.attempt;
  adopted.since = ctx.now();
  adopted.members.push_back({.worker = worker,
                             .state = member_state::kRunning,
                             .settled_at = ctx.now()});
  ctx.state.mine.units.Put(id, std::move(adopted));
  ctx.state.mine.unsaved.insert(id.job);
  AddToLoad(ctx, worker, id, 0, NeedOf(step));
  ctx.Log("task_adopted", NameOf(task.task),
          {Field("worker", worker.value()), Field("attempt", task.attempt)});
  return true;
}

// The task runs where it was placed.
void NotePresent(const context& ctx,
                 const work::unit_id& id,
                 std::uint32_t index,
                 const work::running_task& task) {
  unit next = *ctx.state.mine.units.Find(id);
  member& one = next.members[index];
  const bool unchanged =
      one.state == member_state::kRunning &&
      (task.checkpoint.empty() || next.checkpoint == task.checkpoint);
  if (unchanged)
    return;
  one.state = member_state::kRunning;
  if (!one.settled_at)
    one.settled_at = ctx.now();
  if (!task.checkpoint.empty())
    next.checkpoint = task.checkpoint;
  ctx.state.mine.units.Put(id, std::move(next));
}

void RewardWorker(const context& ctx, const work::worker_id& worker) {
  const worker_row* known = ctx.state.mine.workers.Find(worker);
  if (known == nullptr || known->failures == 0)
    return;
  worker_row row = *known;
  row.failures = 0;
  row.last_failed = work::job_id();
  row.shunned_until = timestamp();
  ctx.state.mine.workers.Put(worker, std::move(row));
}

// An attempt counts as failed once, however many of its members say so, and
// whichever leader started it.
void CountFailure(const context& ctx,
                  const work::unit_id& id,
                  const work::worker_id& worker,
                  std::uint64_t attempt) {
  unit failed = *ctx.state.mine.units.Find(id);
  failed.failed_on.insert(worker);
  const bool counted = attempt < failed.restored_attempt ||
                       !failed.failed_attempts.insert(attempt).second;
  failed.failures += counted ? 0 : 1;
  ctx.state.mine.units.Put(id, std::move(failed));
  ctx.state.mine.unsaved.insert(id.job);
}

bool IsSpent(const context& ctx, const work::unit_id& id) {
  const live_job* job = ctx.state.mine.jobs.Find(id.job);
  const unit* each = ctx.state.mine.units.Find(id);
  return job != nullptr && each != nullptr &&
         each->phase != unit_phase::kDone &&
         each->failures >= job->content.Get()->max_attempts;
}

// An earlier leader had started a later attempt than its records say.
void RaiseAttempt(const context& ctx,
                  const work::unit_id& id,
                  std::uint64_t attempt) {
  unit raised = *ctx.state.mine.units.Find(id);
  if (raised.phase != unit_phase::kWaiting || attempt <= raised.attempt)
    return;
  raised.attempt = attempt;
  ctx.state.mine.units.Put(id, std::move(raised));
  ctx.state.mine.unsaved.insert(id.job);
}

gang_effect EffectOf(work::run_end_kind how) {
  const bool ends_all = how == work::run_end_kind::kDone ||
                        how == work::run_end_kind::kFailed ||
                        how == work::run_end_kind::kGangMemberEnded;
  return ends_all ? gang_effect::kEndsTheRest : gang_effect::kLeavesTheRest;
}

void KeepCheckpoint(const context& ctx,
                    const work::unit_id& id,
                    const std::string& checkpoint) {
  if (checkpoint.empty())
    return;
  unit next = *ctx.state.mine.units.Find(id);
  next.checkpoint = checkpoint;
  ctx.state.mine.units.Put(id, std::move(next));
}

}  // namespace

void NoteRunning(const context& ctx,
                 const work::worker_id& worker,
                 const work::running_task& task) {
  leader_state& mine = ctx.state.mine;
  const live_job* job = mine.jobs.Find(task.task.job);
  if (job == nullptr) {
    const records::stored_job* entry =
        records::FindJob(ctx.state.ledger, task.task.job);
    const auto* content = entry == nullptr ? nullptr : entry->content.Get();
    const bool known =
        content != nullptr && task.task.step < content->request.steps.size();
    NoteStray(ctx, worker, task,
              known ? NeedOf(content->request.steps[task.task.step])
                    : work::resources());
    return;
  }
  if (task.task.step >= job->content.Get()->request.steps.size())
    return;
  const work::unit_id id = UnitOf(*job, task.task);
  EnsureOpened(ctx, id);
  job = mine.jobs.Find(id.job);
  const unit* each = mine.units.Find(id);
  const work::step_spec& step = StepOf(*job, id);
  if (each != nullptr && each->attempt == task.attempt) {
    const auto index = FindMember(*each, id, task.task, worker);
    const bool live =
        index && each->members[*index].state != member_state::kEnded;
    if (live) {
      NotePresent(ctx, id, *index, task);
      return;
    }
  }
  if (!Adopt(ctx, worker, task, id, step))
    NoteStray(ctx, worker, task, NeedOf(step));
}

void NoteEnd(const context& ctx,
             const work::worker_id& worker,
             const work::ended_task& end) {
  leader_state& mine = ctx.state.mine;
  ctx.state.mine.strays.Erase({.worker = worker, .task = end.task});
  mine.plan_due = true;
  const live_job* job = mine.jobs.Find(end.task.job);
  const bool known = job != nullptr &&
                     end.task.step < job->content.Get()->request.steps.size();
  ctx.Log("task_ended", NameOf(end.task),
          {Field("how", NameOf(end.how)), Field("worker", worker.value()),
           Field("attempt", end.attempt), Field("number", end.number),
           Field("job", known ? "open" : "closed")});
  if (!known)
    return;
  const work::unit_id id = UnitOf(*job, end.task);
  EnsureOpened(ctx, id);
  job = mine.jobs.Find(id.job);
  const unit* each = mine.units.Find(id);
  if (each == nullptr)
    return;
  const bool endless = StepOf(*job, id).endless;
  RaiseAttempt(ctx, id, end.attempt);
  if (end.how == work::run_end_kind::kDone && !endless) {
    RewardWorker(ctx, worker);
    FinishUnit(ctx, id);
    each = mine.units.Find(id);
    if (each == nullptr)
      return;
  }
  if (end.how == work::run_end_kind::kFailed) {
    NoteFailure(ctx, worker, id.job, "task failed");
    if (!endless)
      CountFailure(ctx, id, worker, end.attempt);
  }
  each = mine.units.Find(id);
  if (each->attempt == end.attempt) {
    const auto index = FindMember(*each, id, end.task, worker);
    KeepCheckpoint(ctx, id, end.checkpoint);
    if (index)
      EndMember(ctx, id, *index, EffectOf(end.how));
  }
  if (IsSpent(ctx, id))
    CloseJob(ctx, id.job, work::job_phase::kFailed);
}

void EndMember(const context& ctx,
               const work::unit_id& id,
               std::uint32_t index,
               gang_effect effect) {
  leader_state& mine = ctx.state.mine;
  const unit* known = mine.units.Find(id);
  if (known == nullptr || index >= known->members.size() ||
      known->members[index].state == member_state::kEnded)
    return;
  unit next = *known;
  member& one = next.members[index];
  const work::worker_id worker = one.worker;
  const bool was_leaving = one.stopping;
  one.state = member_state::kEnded;
  one.order.reset();
  const bool done = next.phase == unit_phase::kDone;
  const bool ended = AllEnded(next);
  mine.units.Put(id, std::move(next));
  RemoveFromLoad(ctx, worker, id, index, was_leaving,
                 NeedOf(StepOf(*mine.jobs.Find(id.job), id)));
  mine.plan_due = true;
  const bool closed = work::IsClosed(mine.jobs.Find(id.job)->phase);
  if (closed) {
    DropIfEnded(ctx, id);
    return;
  }
  if (done)
    return;
  if (ended) {
    EndAttempt(ctx, id);
    return;
  }
  if (effect == gang_effect::kLeavesTheRest)
    StopOthers(ctx, id);
}

void EndMissing(const context& ctx,
                const work::worker_id& worker,
                const work::worker_listing& listing,
                timestamp listed_after) {
  std::set<std::pair<work::task_id, std::uint64_t>> running;
  for (const work::running_task& task : listing.running)
    running.insert({task.task, task.attempt});
  const auto tasks = LoadOf(ctx, worker).tasks;
  for (const auto& [id, index] : tasks) {
    const unit* each = ctx.state.mine.units.Find(id);
    if (each == nullptr || index >= each->members.size())
      continue;
    const member& one = each->members[index];
    const work::task_id task = TaskOf(id, index);
    const bool settled = one.state == member_state::kUnverified ||
                         (one.settled_at && *one.settled_at < listed_after);
    if (!settled || running.contains({task, each->attempt}))
      continue;
    ctx.Warn("task_missing", NameOf(task), {Field("worker", worker.value())});
    EndMember(ctx, id, index, gang_effect::kLeavesTheRest);
  }
  for (const stray_id& id : StraysOn(ctx, worker)) {
    const stray& each = *ctx.state.mine.strays.Find(id);
    if (!running.contains({id.task, each.attempt}))
      ctx.state.mine.strays.Erase(id);
  }
}

}  // namespace parsleyhitch::dispatch
