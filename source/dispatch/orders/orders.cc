// Orders to start and stop tasks. An order without an answer is repeated with
// the same attempt number until it is answered or given up; the worker carries
// out each attempt at most once. A start is given up by ordering a stop, after
// which the worker refuses a late start of that attempt.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "dispatch/backoff.h"
#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/loads.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/leadership/leadership.h"
#include "dispatch/names.h"
#include "dispatch/orders/orders.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

// Unanswered start orders after which the attempt is given up.
constexpr std::uint32_t kMaxStartOrders = 4;

// A worker gets its starts one after the other, over one connection; the next
// one waits at most this long for the answer.
constexpr duration kMaxStartWait{100};

// The longest pause between the starts of a worker that rejects them. Below 3
// s, within which work must start when there is capacity.
constexpr duration kMaxRejectedPause{2000};

unit WithMember(unit changed, std::uint32_t index, member with) {
  changed.members[index] = std::move(with);
  return changed;
}

void PutMember(const context& ctx,
               const work::unit_id& id,
               std::uint32_t index,
               member with) {
  const unit* known = ctx.state.leader.units.Find(id);
  ctx.state.leader.units.Put(id, WithMember(*known, index, std::move(with)));
}

call_number NewOrder(const context& ctx,
                     const work::unit_id& id,
                     std::uint32_t index,
                     std::uint64_t attempt,
                     const worker_state& called) {
  const call_number call = ctx.NewCall();
  ctx.state.leader.orders.Put(call, {.unit = id,
                                     .member = index,
                                     .attempt = attempt,
                                     .life = called.listed().life});
  return call;
}

void SendStart(const context& ctx,
               const work::unit_id& id,
               std::uint32_t index) {
  const unit& placed = *ctx.state.leader.units.Find(id);
  member next = placed.members[index];
  const worker_state* known = ctx.state.leader.workers.Find(next.worker);
  if (known == nullptr || !known->clock || !HasAuthority(ctx))
    return;
  const auto starting = ctx.state.leader.starting.find(next.worker);
  if (starting != ctx.state.leader.starting.end() &&
      ctx.now() - starting->second < kMaxStartWait)
    return;
  ctx.state.leader.starting[next.worker] = ctx.now();
  worker_state row = *known;
  const duration lease_until = ClockNow(ctx, row) + ctx.limits().lease;
  row.lease_until = std::max(row.lease_until, lease_until);
  const active_job& job = *ctx.state.leader.jobs.Find(id.job);
  next.order = NewOrder(ctx, id, index, placed.attempt, row);
  next.start_orders_sent += 1;
  next.starts_expire_at = std::max(next.starts_expire_at, lease_until);
  next.next_order_at = ctx.now() + ctx.limits().order_retry;
  SendOrder(ctx, work::start_run{.call = *next.order,
                                 .target = TargetOf(ctx, next.worker, row),
                                 .task = TaskOf(id, index),
                                 .attempt = placed.attempt,
                                 .spec = job.content.Get()->request.spec,
                                 .checkpoint = placed.checkpoint,
                                 .lease_until = lease_until,
                                 .timeout = ctx.limits().order_timeout});
  const work::worker_id worker = next.worker;
  ctx.state.leader.workers.Put(worker, std::move(row));
  PutMember(ctx, id, index, std::move(next));
}

void SendStop(const context& ctx,
              const work::unit_id& id,
              std::uint32_t index) {
  const unit& placed = *ctx.state.leader.units.Find(id);
  member next = placed.members[index];
  const worker_state* row = ctx.state.leader.workers.Find(next.worker);
  if (row == nullptr || row->listed().address.empty() || !HasAuthority(ctx))
    return;
  next.order = NewOrder(ctx, id, index, placed.attempt, *row);
  next.next_order_at = ctx.now() + ctx.limits().order_retry;
  SendOrder(ctx, work::stop_run{.call = *next.order,
                                .target = TargetOf(ctx, next.worker, *row),
                                .task = TaskOf(id, index),
                                .attempt = placed.attempt,
                                .timeout = ctx.limits().order_timeout});
  PutMember(ctx, id, index, std::move(next));
}

std::uint64_t NextAttempt(const context& ctx, const unit& waiting) {
  return std::max(waiting.highest_attempt + 1, FirstAttemptOfEpoch(ctx));
}

// The member to which an answer refers; null when the answer is for an earlier
// attempt or a superseded order.
const member* MemberOf(const context& ctx,
                       const order_reference& about,
                       call_number call) {
  const unit* placed = ctx.state.leader.units.Find(about.unit);
  if (placed == nullptr || placed->attempt != about.attempt ||
      about.member >= placed->members.size())
    return nullptr;
  const member& found = placed->members[about.member];
  return found.order == call ? &found : nullptr;
}

// An answered order and the member to which it refers.
struct answered_order {
  order_reference about;
  member current;
};

// Removes the order from those in flight. Returns nothing when it is
// superseded, or when the worker refused it because it has seen a newer fencing
// token.
std::optional<answered_order> CompleteOrder(const context& ctx,
                                            call_number call,
                                            work::order_outcome outcome) {
  const order_reference* found = ctx.state.leader.orders.Find(call);
  if (found == nullptr)
    return {};
  const order_reference about = *found;
  ctx.state.leader.orders.Erase(call);
  if (outcome == work::order_outcome::kFenced) {
    ObserveEpoch(ctx, ctx.state.leader.epoch + 1, "worker_fenced");
    return {};
  }
  const member* current = MemberOf(ctx, about, call);
  if (current == nullptr)
    return {};
  return answered_order{.about = about, .current = *current};
}

// A positive answer shows that the task was started, also if the order has been
// superseded since.
void NoteStarted(const context& ctx,
                 call_number call,
                 work::order_outcome outcome) {
  const order_reference* about = ctx.state.leader.orders.Find(call);
  if (outcome == work::order_outcome::kDone && about != nullptr)
    MarkJobStarted(ctx, about->unit.job);
}

// True if the answer shows that the process of the worker that was called, and
// that is still the latest known, has ended.
bool IsReplaced(const context& ctx,
                call_number call,
                const work::worker_id& worker,
                work::order_outcome outcome) {
  if (outcome != work::order_outcome::kRestarted)
    return false;
  const order_reference* about = ctx.state.leader.orders.Find(call);
  const worker_state* row = ctx.state.leader.workers.Find(worker);
  return about != nullptr && row != nullptr &&
         about->life == row->listed().life;
}

// Has the worker get no start for a while: the next one would be rejected as
// well, and placed there again at once.
void PauseStarts(const context& ctx, const work::worker_id& worker) {
  const worker_state* known = ctx.state.leader.workers.Find(worker);
  if (known == nullptr)
    return;
  worker_state row = *known;
  row.next_start_at =
      ctx.now() + ExponentialBackoff(ctx.limits().order_retry,
                                     kMaxRejectedPause, row.rejected_starts);
  row.rejected_starts += 1;
  ctx.state.leader.workers.Put(worker, std::move(row));
}

void NoteStartAccepted(const context& ctx, const work::worker_id& worker) {
  const worker_state* known = ctx.state.leader.workers.Find(worker);
  if (known == nullptr || known->rejected_starts == 0)
    return;
  worker_state row = *known;
  row.rejected_starts = 0;
  ctx.state.leader.workers.Put(worker, std::move(row));
}

// The call was rejected, which says nothing about earlier calls for the same
// attempt: the worker may still carry out one that it left unanswered, unless
// it is another process than the one that was called.
void OnStartRejected(const context& ctx,
                     const order_reference& about,
                     const work::worker_id& worker,
                     work::order_outcome outcome) {
  const unit& placed = *ctx.state.leader.units.Find(about.unit);
  const member& one = placed.members[about.member];
  const bool may_start_late =
      one.start_pending && outcome != work::order_outcome::kRestarted;
  const bool unhealthy = outcome == work::order_outcome::kRefused;
  PauseStarts(ctx, worker);
  if (unhealthy)
    RecordWorkerFailure(ctx, worker, about.unit.job, "start refused");
  ctx.Log("start_rejected", NameOf(about.unit),
          {Field("worker", worker.value()), Field("outcome", NameOf(outcome)),
           Field("attempt", about.attempt),
           Field("pending", std::string(may_start_late ? "yes" : "no"))});
  if (may_start_late)
    StopUnit(ctx, about.unit, "start rejected");
  else
    EndMember(ctx, about.unit, about.member, gang_effect::kKeepsOthers);
}

// True when an order to the member, if it needs one, may be sent.
bool IsOrderDue(const context& ctx, const member& one) {
  return one.state != member_state::kEnded && !one.order &&
         ctx.now() >= one.next_order_at;
}

// True when the worker has announced its departure: what starts there is lost
// soon, and the platform allows it for a short time only.
bool IsDraining(const context& ctx, const work::worker_id& worker) {
  const worker_state* row = ctx.state.leader.workers.Find(worker);
  return row != nullptr && row->listed().draining;
}

bool IsInEvacuatedDomain(const context& ctx, const work::worker_id& worker) {
  const worker_state* row = ctx.state.leader.workers.Find(worker);
  return row != nullptr && IsEvacuated(ctx, row->listed().failure_domain);
}

// Gives up a start that no worker has confirmed. Without an order for it the
// unit can be placed elsewhere at once; otherwise the worker may still carry
// one out, and refuses that only after a stop.
void GiveUpStart(const context& ctx,
                 const work::unit_id& id,
                 std::uint32_t index,
                 std::string_view why) {
  const member& one = ctx.state.leader.units.Find(id)->members[index];
  if (one.start_orders_sent > 0) {
    StopUnit(ctx, id, why);
    return;
  }
  ctx.Log(
      "start_withheld", NameOf(id),
      {Field("worker", one.worker.value()), Field("why", std::string(why))});
  EndMember(ctx, id, index, gang_effect::kKeepsOthers);
}

void AdvanceMember(const context& ctx,
                   const work::unit_id& id,
                   std::uint32_t index) {
  const member one = ctx.state.leader.units.Find(id)->members[index];
  if (!IsOrderDue(ctx, one))
    return;
  if (one.stopping) {
    if (!one.acknowledged_at || one.state != member_state::kOrdered)
      SendStop(ctx, id, index);
    return;
  }
  if (one.state != member_state::kOrdered)
    return;
  if (IsDraining(ctx, one.worker)) {
    GiveUpStart(ctx, id, index, "worker drains");
    return;
  }
  if (IsInEvacuatedDomain(ctx, one.worker)) {
    GiveUpStart(ctx, id, index, "domain evacuated");
    return;
  }
  if (one.start_orders_sent < kMaxStartOrders) {
    SendStart(ctx, id, index);
    return;
  }
  RecordWorkerFailure(ctx, one.worker, id.job, "starts unanswered");
  StopUnit(ctx, id, "start unanswered");
}

void AdvanceOrphanTasks(const context& ctx) {
  std::vector<orphan_key> due;
  for (const auto& [id, each] : ctx.state.leader.orphan_tasks) {
    if (ctx.now() >= each.next_order_at)
      due.push_back(id);
  }
  for (const orphan_key& id : due) {
    orphan_task next = *ctx.state.leader.orphan_tasks.Find(id);
    const worker_state* row = ctx.state.leader.workers.Find(id.worker);
    if (row == nullptr || !HasAuthority(ctx))
      continue;
    next.next_order_at =
        ctx.now() + ctx.limits().order_timeout + ctx.limits().order_retry;
    SendOrder(ctx, work::stop_run{.call = ctx.NewCall(),
                                  .target = TargetOf(ctx, id.worker, *row),
                                  .task = id.task,
                                  .attempt = next.attempt,
                                  .timeout = ctx.limits().order_timeout});
    ctx.state.leader.orphan_tasks.Put(id, next);
  }
}

}  // namespace

work::order_target TargetOf(const context& ctx,
                            const work::worker_id& worker,
                            const worker_state& row) {
  return {.worker = worker,
          .address = row.listed().address,
          .token = ctx.state.leader.epoch,
          .valid_until = AuthorityExpiresAt(ctx) + ClockAheadFor(ctx, worker),
          .failure_domain = row.listed().failure_domain};
}

std::uint64_t FirstAttemptOfEpoch(const context& ctx) {
  return (ctx.state.leader.epoch - 1) * ctx.limits().attempts_per_epoch + 1;
}

void PlaceUnit(const context& ctx,
               const work::unit_id& id,
               const std::vector<work::worker_id>& workers) {
  leader_state& leader = ctx.state.leader;
  unit placed = *leader.units.Find(id);
  const active_job& job = *leader.jobs.Find(id.job);
  const work::resources need = NeedOf(StepOf(job, id));
  ctx.Log("unit_placed", NameOf(id),
          {Field("attempt", NextAttempt(ctx, placed)),
           Field("members", workers.size()),
           Field("cpu_millis", static_cast<std::uint64_t>(need.cpu_millis)),
           Field("accelerators", static_cast<std::uint64_t>(need.accelerators)),
           Field("worker", workers.front().value()),
           Field("waited", ctx.now() - placed.since),
           Field("checkpoint", placed.checkpoint)});
  placed.phase = unit_phase::kPlaced;
  placed.attempt = NextAttempt(ctx, placed);
  placed.highest_attempt = placed.attempt;
  placed.since = ctx.now();
  placed.members.clear();
  for (const work::worker_id& worker : workers)
    placed.members.push_back({.worker = worker});
  leader.units.Put(id, std::move(placed));
  NoteUnitChanged(ctx, id);
  for (std::uint32_t i = 0; i < workers.size(); ++i) {
    AddToLoad(ctx, workers[i], id, i, need);
    SendStart(ctx, id, i);
  }
  for (const work::worker_id& worker : workers)
    HoldIfNeeded(ctx, worker);
}

void StopUnit(const context& ctx,
              const work::unit_id& id,
              std::string_view why) {
  const unit* known = ctx.state.leader.units.Find(id);
  if (known == nullptr)
    return;
  const auto count = static_cast<std::uint32_t>(known->members.size());
  const work::resources need =
      NeedOf(StepOf(*ctx.state.leader.jobs.Find(id.job), id));
  const duration ran = ctx.now() - known->since;
  bool stopped = false;
  for (std::uint32_t i = 0; i < count; ++i) {
    member next = ctx.state.leader.units.Find(id)->members[i];
    if (next.state == member_state::kEnded || next.stopping)
      continue;
    next.stopping = true;
    next.order.reset();
    next.next_order_at = ctx.now();
    MarkLeaving(ctx, next.worker, need);
    PutMember(ctx, id, i, std::move(next));
    SendStop(ctx, id, i);
    stopped = true;
  }
  if (stopped)
    ctx.Log("unit_stopped", NameOf(id),
            {Field("why", std::string(why)), Field("ran", ran)});
}

bool StopIfStartPending(const context& ctx,
                        const work::unit_id& id,
                        std::uint32_t index) {
  const unit* known = ctx.state.leader.units.Find(id);
  if (known == nullptr || index >= known->members.size())
    return false;
  member next = known->members[index];
  const bool pending =
      next.state == member_state::kOrdered ||
      (next.state != member_state::kEnded && next.start_pending);
  if (!pending)
    return false;
  next.state = member_state::kOrdered;
  next.acknowledged_at.reset();
  PutMember(ctx, id, index, std::move(next));
  StopUnit(ctx, id, "worker restarted");
  return true;
}

namespace {

void ApplyStartAnswer(const context& ctx, const work::start_answered& event) {
  const auto answered = CompleteOrder(ctx, event.call, event.outcome);
  if (!answered)
    return;
  const order_reference& about = answered->about;
  member next = answered->current;
  next.order.reset();
  switch (event.outcome) {
    case work::order_outcome::kDone:
    // The worker has seen a later state of this attempt: its end is in a
    // listing or was listed before.
    case work::order_outcome::kOutdated:
      next.state = member_state::kRunning;
      if (!next.started_at)
        next.started_at = ctx.now();
      next.acknowledged_at = ctx.now();
      PutMember(ctx, about.unit, about.member, std::move(next));
      NoteStartAccepted(ctx, event.worker);
      if (event.outcome == work::order_outcome::kOutdated)
        HoldIfNeeded(ctx, event.worker);
      return;
    case work::order_outcome::kUnknown:
    case work::order_outcome::kDisconnected:
      next.start_pending = true;
      PutMember(ctx, about.unit, about.member, std::move(next));
      return;
    default:
      PutMember(ctx, about.unit, about.member, std::move(next));
      OnStartRejected(ctx, about, event.worker, event.outcome);
      return;
  }
}

// Sends the first start to the worker that waited for an earlier one.
void SendNextStart(const context& ctx, const work::worker_id& worker) {
  const auto& tasks = LoadOf(ctx, worker).tasks;
  const auto next = std::ranges::find_if(tasks, [&](const auto& task) {
    const unit* placed = ctx.state.leader.units.Find(task.first);
    if (placed == nullptr || task.second >= placed->members.size())
      return false;
    const member& one = placed->members[task.second];
    return one.state == member_state::kOrdered && !one.stopping &&
           IsOrderDue(ctx, one);
  });
  if (next == tasks.end())
    return;
  // The order may replace the load that holds the task.
  const auto [id, index] = *next;
  AdvanceMember(ctx, id, index);
}

}  // namespace

void OnStartAnswered(const context& ctx, const work::start_answered& event) {
  ctx.state.leader.starting.erase(event.worker);
  NoteDisconnection(ctx, event.worker, event.outcome);
  const bool replaced =
      IsReplaced(ctx, event.call, event.worker, event.outcome);
  NoteStarted(ctx, event.call, event.outcome);
  // Before the others on the worker: this one was not started by the call.
  ApplyStartAnswer(ctx, event);
  if (replaced)
    OnWorkerReplaced(ctx, event.worker);
  SendNextStart(ctx, event.worker);
  // The clock of another process starts anew as well.
  if (event.outcome != work::order_outcome::kRestarted)
    ObserveWorkerClock(ctx, event.worker, event.worker_clock);
}

void OnStopAnswered(const context& ctx, const work::stop_answered& event) {
  NoteDisconnection(ctx, event.worker, event.outcome);
  const bool replaced =
      IsReplaced(ctx, event.call, event.worker, event.outcome);
  const auto answered = CompleteOrder(ctx, event.call, event.outcome);
  if (replaced)
    OnWorkerReplaced(ctx, event.worker);
  if (replaced || !answered)
    return;
  const order_reference& about = answered->about;
  member next = answered->current;
  next.order.reset();
  // A worker that has seen a later state of the attempt does not start it.
  const bool acknowledged = event.outcome == work::order_outcome::kDone ||
                            event.outcome == work::order_outcome::kOutdated;
  if (acknowledged) {
    next.acknowledged_at = ctx.now();
    // Leaves the worker time to stop the task and list its end before the stop
    // is ordered again.
    next.next_order_at = ctx.now() + 4 * ctx.limits().order_retry;
  }
  const work::worker_id worker = next.worker;
  PutMember(ctx, about.unit, about.member, std::move(next));
  HoldIfNeeded(ctx, worker);
}

void AdvanceOrders(const context& ctx) {
  std::vector<std::pair<work::unit_id, std::uint32_t>> due;
  for (const auto& [id, each] : ctx.state.leader.units) {
    for (std::uint32_t i = 0; i < each.members.size(); ++i) {
      const member& one = each.members[i];
      const bool open = one.stopping || one.state == member_state::kOrdered;
      if (open && IsOrderDue(ctx, one))
        due.emplace_back(id, i);
    }
  }
  for (const auto& [id, index] : due) {
    const unit* still = ctx.state.leader.units.Find(id);
    if (still != nullptr && index < still->members.size())
      AdvanceMember(ctx, id, index);
  }
  AdvanceOrphanTasks(ctx);
}

}  // namespace parsleyhitch::dispatch
