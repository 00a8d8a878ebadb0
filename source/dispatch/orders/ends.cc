// Handles running and ended tasks in workers' listings, and their effect on
// units.

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/loads.h"
#include "dispatch/fleet/speeds.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/names.h"
#include "dispatch/orders/orders.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

// A worker lists this many ends at a time, the oldest first.
constexpr std::size_t kListedEnds = 500;

// Makes the unit wait again after all members of an attempt have ended without
// completing it.
void EndAttempt(const context& ctx, const work::unit_id& id) {
  leader_state& leader = ctx.state.leader;
  unit ended = *leader.units.Find(id);
  ended.phase = unit_phase::kWaiting;
  ended.attempt = ended.highest_attempt;
  ended.members.clear();
  ended.since = ctx.now();
  leader.units.Put(id, std::move(ended));
  NoteUnitChanged(ctx, id);
  leader.plan_due = true;
}

bool AllEnded(const unit& each) {
  return std::ranges::all_of(each.members, [](const member& one) {
    return one.state == member_state::kEnded;
  });
}

// The index of the unit's member that runs the task on the worker, if any.
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

// Stops the other members of a gang, which can't continue without the lost one.
void StopOtherMembers(const context& ctx, const work::unit_id& id) {
  const unit* each = ctx.state.leader.units.Find(id);
  if (each != nullptr && each->phase == unit_phase::kPlaced &&
      each->members.size() > 1)
    StopUnit(ctx, id, "member lost");
}

void AddOrphanTask(const context& ctx,
                   const work::worker_id& worker,
                   const work::running_task& task,
                   const work::resources& need) {
  const orphan_key id{.worker = worker, .task = task.task};
  const orphan_task* known = ctx.state.leader.orphan_tasks.Find(id);
  if (known != nullptr && known->attempt == task.attempt)
    return;
  ctx.Warn("orphan_task_found", NameOf(task.task),
           {Field("worker", worker.value()), Field("attempt", task.attempt)});
  ctx.state.leader.orphan_tasks.Put(id,
                                    {.attempt = task.attempt, .need = need});
}

// Adopts a task that an earlier leader started without storing a record of it.
// Gangs are not adopted.
bool AdoptTask(const context& ctx,
               const work::worker_id& worker,
               const work::running_task& task,
               const work::unit_id& id,
               const work::step_spec& step) {
  const unit* known = ctx.state.leader.units.Find(id);
  const bool adoptable = known != nullptr && !step.gang &&
                         known->phase == unit_phase::kWaiting &&
                         task.attempt > known->attempt;
  if (!adoptable)
    return false;
  unit adopted = *known;
  adopted.phase = unit_phase::kPlaced;
  adopted.attempt = task.attempt;
  adopted.highest_attempt = std::max(adopted.highest_attempt, task.attempt);
  adopted.since = ctx.now();
  adopted.members.push_back({.worker = worker,
                             .state = member_state::kRunning,
                             .started_at = ctx.now(),
                             .acknowledged_at = ctx.now()});
  ctx.state.leader.units.Put(id, std::move(adopted));
  NoteUnitChanged(ctx, id);
  AddToLoad(ctx, worker, id, 0, NeedOf(step));
  ctx.Log("task_adopted", NameOf(task.task),
          {Field("worker", worker.value()), Field("attempt", task.attempt)});
  return true;
}

// Records that the task runs on the worker on which it was placed.
void MarkRunning(const context& ctx,
                 const work::unit_id& id,
                 std::uint32_t index,
                 const work::running_task& task) {
  unit next = *ctx.state.leader.units.Find(id);
  member& one = next.members[index];
  const bool unchanged =
      one.state == member_state::kRunning &&
      (task.checkpoint.empty() || next.checkpoint == task.checkpoint);
  if (unchanged)
    return;
  one.state = member_state::kRunning;
  if (!one.started_at)
    one.started_at = ctx.now();
  if (!one.acknowledged_at)
    one.acknowledged_at = ctx.now();
  if (!task.checkpoint.empty())
    next.checkpoint = task.checkpoint;
  ctx.state.leader.units.Put(id, std::move(next));
}

// Stops what is still listed as running although its unit was done before the
// listing.
void StopIfDone(const context& ctx, const work::unit_id& id) {
  const unit* each = ctx.state.leader.units.Find(id);
  const bool listed_later =
      each->phase == unit_phase::kDone &&
      ctx.now() - each->since > ctx.limits().order_timeout;
  if (listed_later)
    StopUnit(ctx, id, "done");
}

void ResetWorkerFailures(const context& ctx, const work::worker_id& worker) {
  const worker_state* known = ctx.state.leader.workers.Find(worker);
  if (known == nullptr || known->failures == 0)
    return;
  worker_state row = *known;
  row.failures = 0;
  row.last_failed = work::job_id();
  row.shunned_until = timestamp();
  ctx.state.leader.workers.Put(worker, std::move(row));
}

void RecordFailure(const context& ctx,
                   const work::unit_id& id,
                   const work::worker_id& worker,
                   std::uint64_t attempt) {
  unit failed = *ctx.state.leader.units.Find(id);
  failed.failed_on.insert(worker);
  failed.failed = WithAttempt(std::move(failed.failed), attempt);
  ctx.state.leader.units.Put(id, std::move(failed));
  NoteUnitChanged(ctx, id);
}

bool HasExhaustedAttempts(const context& ctx, const work::unit_id& id) {
  const active_job* job = ctx.state.leader.jobs.Find(id.job);
  const unit* each = ctx.state.leader.units.Find(id);
  return job != nullptr && each != nullptr &&
         each->phase != unit_phase::kDone &&
         CountOf(each->failed) >= job->content.Get()->max_attempts;
}

// Raises the attempt number when an earlier leader had started a later attempt
// than its records show. The members of a placed unit keep theirs.
void RaiseAttempt(const context& ctx,
                  const work::unit_id& id,
                  std::uint64_t attempt) {
  unit raised = *ctx.state.leader.units.Find(id);
  if (attempt <= raised.highest_attempt)
    return;
  raised.highest_attempt = attempt;
  if (raised.phase == unit_phase::kWaiting)
    raised.attempt = attempt;
  ctx.state.leader.units.Put(id, std::move(raised));
  NoteUnitChanged(ctx, id);
}

gang_effect EffectOf(work::run_end_kind how) {
  const bool ends_all = how == work::run_end_kind::kDone ||
                        how == work::run_end_kind::kFailed ||
                        how == work::run_end_kind::kGangMemberEnded;
  return ends_all ? gang_effect::kEndsOthers : gang_effect::kKeepsOthers;
}

void UpdateCheckpoint(const context& ctx,
                      const work::unit_id& id,
                      const std::string& checkpoint) {
  if (checkpoint.empty())
    return;
  unit next = *ctx.state.leader.units.Find(id);
  next.checkpoint = checkpoint;
  ctx.state.leader.units.Put(id, std::move(next));
}

// True for the successful end of a task that was given up as lost and has been
// started again. The later run decides.
bool IsSuperseded(const context& ctx,
                  const work::worker_id& worker,
                  const work::ended_task& end) {
  if (end.how != work::run_end_kind::kDone)
    return false;
  const worker_state& row = *ctx.state.leader.workers.Find(worker);
  const bool abandoned =
      row.abandoned_tasks.contains({end.task, end.attempt}) ||
      (row.reached_late && end.attempt < FirstAttemptOfEpoch(ctx));
  const active_job* job = ctx.state.leader.jobs.Find(end.task.job);
  if (job == nullptr)
    return abandoned;
  if (end.task.step >= ContentOf(*job).request.steps.size())
    return false;
  const work::unit_id id = UnitOf(*job, end.task);
  if (StepOf(*job, id).duplicates_allowed || StepOf(*job, id).endless)
    return false;
  const unit* each = ctx.state.leader.units.Find(id);
  return each == nullptr ? abandoned : end.attempt < each->attempt;
}

// Withholds the acknowledgement of a superseded end, which would make the later
// start a repetition of completed work. It does not once the worker's leases
// have expired since the end.
void WithholdUnlessLapsed(const context& ctx,
                          const work::worker_id& worker,
                          const work::ended_task& end) {
  worker_state row = *ctx.state.leader.workers.Find(worker);
  if (row.listed_after_lapse) {
    ctx.Log("end_superseded", NameOf(end.task),
            {Field("worker", worker.value()), Field("attempt", end.attempt),
             Field("number", end.number)});
    return;
  }
  row.withheld_end =
      std::min(row.withheld_end.value_or(end.number), end.number);
  ctx.state.leader.workers.Put(worker, std::move(row));
  ctx.Warn("end_withheld", NameOf(end.task),
           {Field("worker", worker.value()), Field("attempt", end.attempt),
            Field("number", end.number)});
}

// True if every task that is not listed as running has its end in the listing,
// unless that was acknowledged. A full listing may leave out the latest ends.
// While the worker's ends are withheld no more room comes for them.
bool ListsAllEnds(const context& ctx,
                  const work::worker_id& worker,
                  const work::worker_listing& listing) {
  return listing.ended.size() < kListedEnds ||
         ctx.state.leader.workers.Find(worker)->withheld_end;
}

// True if the worker has not started the member by then and refuses to.
bool HaveStartsExpired(const member& one, std::optional<duration> clock) {
  return one.start_orders_sent > 0 && clock && *clock > one.starts_expire_at;
}

}  // namespace

void OnTaskRunning(const context& ctx,
                   const work::worker_id& worker,
                   const work::running_task& task) {
  leader_state& leader = ctx.state.leader;
  MarkJobStarted(ctx, task.task.job);
  const active_job* job = leader.jobs.Find(task.task.job);
  if (job == nullptr) {
    const records::stored_job* entry =
        records::FindJob(ctx.state.ledger, task.task.job);
    AddOrphanTask(ctx, worker, task,
                  entry == nullptr ? work::resources()
                                   : records::NeedOf(*entry, task.task.step));
    return;
  }
  if (task.task.step >= job->content.Get()->request.steps.size())
    return;
  const work::unit_id id = UnitOf(*job, task.task);
  EnsureStepOpened(ctx, id);
  job = leader.jobs.Find(id.job);
  const unit* each = leader.units.Find(id);
  const work::step_spec& step = StepOf(*job, id);
  if (each != nullptr && each->attempt == task.attempt) {
    const auto index = FindMember(*each, id, task.task, worker);
    const bool live =
        index && each->members[*index].state != member_state::kEnded;
    if (live) {
      MarkRunning(ctx, id, *index, task);
      leader.observed = ObserveTask(std::move(leader.observed), worker, task,
                                    step.estimate, ctx.now());
      ObserveSpeed(ctx, worker, task, step);
      StopIfDone(ctx, id);
      return;
    }
  }
  if (!AdoptTask(ctx, worker, task, id, step))
    AddOrphanTask(ctx, worker, task, NeedOf(step));
}

void OnTaskEnded(const context& ctx,
                 const work::worker_id& worker,
                 const work::ended_task& end) {
  leader_state& leader = ctx.state.leader;
  ctx.state.leader.orphan_tasks.Erase({.worker = worker, .task = end.task});
  leader.plan_due = true;
  MarkJobStarted(ctx, end.task.job);
  const active_job* job = leader.jobs.Find(end.task.job);
  const bool known = job != nullptr &&
                     end.task.step < job->content.Get()->request.steps.size();
  ctx.Log("task_ended", NameOf(end.task),
          {Field("how", NameOf(end.how)), Field("worker", worker.value()),
           Field("attempt", end.attempt), Field("number", end.number),
           Field("job", known ? "open" : "closed")});
  if (IsSuperseded(ctx, worker, end)) {
    WithholdUnlessLapsed(ctx, worker, end);
    return;
  }
  if (!known)
    return;
  const work::unit_id id = UnitOf(*job, end.task);
  EnsureStepOpened(ctx, id);
  job = leader.jobs.Find(id.job);
  const unit* each = leader.units.Find(id);
  if (each == nullptr)
    return;
  const bool endless = StepOf(*job, id).endless;
  RaiseAttempt(ctx, id, end.attempt);
  each = leader.units.Find(id);
  if (end.how == work::run_end_kind::kDone && !endless) {
    ResetWorkerFailures(ctx, worker);
    // Another attempt runs on.
    if (end.attempt != each->attempt)
      StopUnit(ctx, id, "done elsewhere");
    FinishUnit(ctx, id);
    each = leader.units.Find(id);
    if (each == nullptr)
      return;
  }
  if (end.how == work::run_end_kind::kFailed) {
    RecordWorkerFailure(ctx, worker, id.job, "task failed");
    if (!endless)
      RecordFailure(ctx, id, worker, end.attempt);
  }
  each = leader.units.Find(id);
  if (each->attempt == end.attempt) {
    const auto index = FindMember(*each, id, end.task, worker);
    UpdateCheckpoint(ctx, id, end.checkpoint);
    if (index)
      EndMember(ctx, id, *index, EffectOf(end.how));
  }
  if (HasExhaustedAttempts(ctx, id))
    CloseJob(ctx, id.job, work::job_phase::kFailed);
}

void EndMember(const context& ctx,
               const work::unit_id& id,
               std::uint32_t index,
               gang_effect effect) {
  leader_state& leader = ctx.state.leader;
  const unit* known = leader.units.Find(id);
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
  leader.units.Put(id, std::move(next));
  leader.observed = ForgetTask(std::move(leader.observed), TaskOf(id, index));
  RemoveFromLoad(ctx, worker, id, index, was_leaving,
                 NeedOf(StepOf(*leader.jobs.Find(id.job), id)));
  leader.plan_due = true;
  const bool closed = work::IsClosed(leader.jobs.Find(id.job)->phase);
  if (closed) {
    EraseUnitIfEnded(ctx, id);
    return;
  }
  if (done)
    return;
  if (ended) {
    EndAttempt(ctx, id);
    return;
  }
  if (effect == gang_effect::kKeepsOthers)
    StopOtherMembers(ctx, id);
}

void EndMissingTasks(const context& ctx,
                     const work::worker_id& worker,
                     const work::worker_listing& listing,
                     std::optional<duration> clock,
                     timestamp listed_after) {
  if (!ListsAllEnds(ctx, worker, listing))
    return;
  std::set<std::pair<work::task_id, std::uint64_t>> running;
  for (const work::running_task& task : listing.running)
    running.insert({task.task, task.attempt});
  const auto tasks = LoadOf(ctx, worker).tasks;
  for (const auto& [id, index] : tasks) {
    const unit* each = ctx.state.leader.units.Find(id);
    if (each == nullptr || index >= each->members.size())
      continue;
    const member& one = each->members[index];
    const work::task_id task = TaskOf(id, index);
    const bool listing_is_newer =
        one.state == member_state::kUnverified ||
        (one.acknowledged_at && *one.acknowledged_at < listed_after) ||
        (one.stopping && HaveStartsExpired(one, clock));
    if (!listing_is_newer || running.contains({task, each->attempt}))
      continue;
    ctx.Warn("task_missing", NameOf(task), {Field("worker", worker.value())});
    EndMember(ctx, id, index, gang_effect::kKeepsOthers);
  }
  for (const orphan_key& id : OrphanTasksOn(ctx, worker)) {
    const orphan_task& each = *ctx.state.leader.orphan_tasks.Find(id);
    if (!running.contains({id.task, each.attempt}))
      ctx.state.leader.orphan_tasks.Erase(id);
  }
}

}  // namespace parsleyhitch::dispatch
