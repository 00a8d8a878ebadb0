// Starts and stops. An order without an answer is repeated with the same
// attempt, which the worker carries out once, until it is answered or given up;
// a start is given up by a stop, which shuts the door behind it.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "dispatch/loads.h"
#include "dispatch/names.h"
#include "dispatch/parts.h"
#include "dispatch/steps.h"

namespace parsleyhitch::dispatch {

namespace {

// Starts without an answer after which the attempt is given up.
constexpr std::uint32_t kStartTries = 4;

unit WithMember(unit changed, std::uint32_t index, member with) {
  changed.members[index] = std::move(with);
  return changed;
}

void PutMember(const context& ctx,
               const work::unit_id& id,
               std::uint32_t index,
               member with) {
  const unit* known = ctx.state.mine.units.Find(id);
  ctx.state.mine.units.Put(id, WithMember(*known, index, std::move(with)));
}

work::order_target TargetOf(const context& ctx,
                            const work::worker_id& worker,
                            const worker_row& row) {
  return {.worker = worker,
          .address = row.listed().address,
          .token = ctx.state.mine.epoch};
}

call_number NewOrder(const context& ctx,
                     const work::unit_id& id,
                     std::uint32_t index,
                     std::uint64_t attempt) {
  const call_number call = ctx.NewCall();
  ctx.state.mine.orders.Put(call,
                            {.unit = id, .member = index, .attempt = attempt});
  return call;
}

void SendStart(const context& ctx,
               const work::unit_id& id,
               std::uint32_t index) {
  const unit& placed = *ctx.state.mine.units.Find(id);
  member next = placed.members[index];
  const worker_row* known = ctx.state.mine.workers.Find(next.worker);
  if (known == nullptr || !known->clock || !HasAuthority(ctx))
    return;
  worker_row row = *known;
  const duration lease_until = ClockNow(ctx, row) + ctx.limits().lease;
  row.lease_until = std::max(row.lease_until, lease_until);
  const live_job& job = *ctx.state.mine.jobs.Find(id.job);
  next.order = NewOrder(ctx, id, index, placed.attempt);
  next.tries += 1;
  next.next_order_at = ctx.now() + ctx.limits().order_retry;
  ctx.Emit(work::start_run{.call = *next.order,
                           .target = TargetOf(ctx, next.worker, row),
                           .task = TaskOf(id, index),
                           .attempt = placed.attempt,
                           .spec = job.content.Get()->request.spec,
                           .checkpoint = placed.checkpoint,
                           .lease_until = lease_until,
                           .timeout = ctx.limits().order_timeout});
  const work::worker_id worker = next.worker;
  ctx.state.mine.workers.Put(worker, std::move(row));
  PutMember(ctx, id, index, std::move(next));
}

void SendStop(const context& ctx,
              const work::unit_id& id,
              std::uint32_t index) {
  const unit& placed = *ctx.state.mine.units.Find(id);
  member next = placed.members[index];
  const worker_row* row = ctx.state.mine.workers.Find(next.worker);
  if (row == nullptr || row->listed().address.empty() || !HasAuthority(ctx))
    return;
  next.order = NewOrder(ctx, id, index, placed.attempt);
  next.next_order_at = ctx.now() + ctx.limits().order_retry;
  ctx.Emit(work::stop_run{.call = *next.order,
                          .target = TargetOf(ctx, next.worker, *row),
                          .task = TaskOf(id, index),
                          .attempt = placed.attempt,
                          .timeout = ctx.limits().order_timeout});
  PutMember(ctx, id, index, std::move(next));
}

std::uint64_t NextAttempt(const context& ctx, const unit& waiting) {
  return std::max(waiting.attempt + 1, FirstAttempt(ctx));
}

void MarkBegun(const context& ctx, const work::job_id& id) {
  const live_job* known = ctx.state.mine.jobs.Find(id);
  ctx.state.mine.unsaved.insert(id);
  if (known->phase != work::job_phase::kQueued)
    return;
  live_job job = *known;
  job.phase = work::job_phase::kRunning;
  ctx.Emit(work::observe_latency{
      .name = "job_wait",
      .value = ctx.now() - job.content.Get()->submitted_at});
  ctx.state.mine.jobs.Put(id, std::move(job));
}

// The member that an answer is about; nothing when it is an old attempt's.
const member* MemberOf(const context& ctx,
                       const order_reference& about,
                       call_number call) {
  const unit* placed = ctx.state.mine.units.Find(about.unit);
  if (placed == nullptr || placed->attempt != about.attempt ||
      about.member >= placed->members.size())
    return nullptr;
  const member& found = placed->members[about.member];
  return found.order == call ? &found : nullptr;
}

// An answered order with the member that it is about.
struct answered_order {
  order_reference about;
  member current;
};

// Nothing when the order is an old attempt's or was refused by a newer token.
std::optional<answered_order> TakeOrder(const context& ctx,
                                        call_number call,
                                        work::order_outcome outcome) {
  const order_reference* found = ctx.state.mine.orders.Find(call);
  if (found == nullptr)
    return {};
  const order_reference about = *found;
  ctx.state.mine.orders.Erase(call);
  if (outcome == work::order_outcome::kFenced) {
    NoteEpoch(ctx, ctx.state.mine.epoch + 1, "worker_fenced");
    return {};
  }
  const member* current = MemberOf(ctx, about, call);
  if (current == nullptr)
    return {};
  return answered_order{.about = about, .current = *current};
}

// A start that did nothing: the member never ran.
void OnNotStarted(const context& ctx,
                  const order_reference& about,
                  const work::worker_id& worker,
                  work::order_outcome outcome) {
  const bool unhealthy = outcome == work::order_outcome::kRefused;
  if (unhealthy)
    NoteFailure(ctx, worker, about.unit.job, "start refused");
  ctx.Log("start_rejected", NameOf(about.unit),
          {Field("worker", worker.value()), Field("outcome", NameOf(outcome)),
           Field("attempt", about.attempt)});
  EndMember(ctx, about.unit, about.member, gang_effect::kLeavesTheRest);
}

void AdvanceMember(const context& ctx,
                   const work::unit_id& id,
                   std::uint32_t index) {
  const member one = ctx.state.mine.units.Find(id)->members[index];
  if (one.state == member_state::kEnded || one.order ||
      ctx.now() < one.next_order_at)
    return;
  if (one.stopping) {
    if (!one.settled_at || one.state != member_state::kOrdered)
      SendStop(ctx, id, index);
    return;
  }
  if (one.state != member_state::kOrdered)
    return;
  if (one.tries < kStartTries) {
    SendStart(ctx, id, index);
    return;
  }
  NoteFailure(ctx, one.worker, id.job, "starts unanswered");
  StopUnit(ctx, id, "start unanswered");
}

void AdvanceStrays(const context& ctx) {
  std::vector<stray_id> due;
  for (const auto& [id, each] : ctx.state.mine.strays) {
    if (ctx.now() >= each.next_order_at)
      due.push_back(id);
  }
  for (const stray_id& id : due) {
    stray next = *ctx.state.mine.strays.Find(id);
    const worker_row* row = ctx.state.mine.workers.Find(id.worker);
    if (row == nullptr || !HasAuthority(ctx))
      continue;
    next.next_order_at =
        ctx.now() + ctx.limits().order_timeout + ctx.limits().order_retry;
    ctx.Emit(work::stop_run{.call = ctx.NewCall(),
                            .target = TargetOf(ctx, id.worker, *row),
                            .task = id.task,
                            .attempt = next.attempt,
                            .timeout = ctx.limits().order_timeout});
    ctx.state.mine.strays.Put(id, next);
  }
}

}  // namespace

std::uint64_t FirstAttempt(const context& ctx) {
  return (ctx.state.mine.epoch - 1) * ctx.limits().attempts_per_epoch + 1;
}

void PlaceUnit(const context& ctx,
               const work::unit_id& id,
               const std::vector<work::worker_id>& workers) {
  leader_state& mine = ctx.state.mine;
  unit placed = *mine.units.Find(id);
  const live_job& job = *mine.jobs.Find(id.job);
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
  placed.since = ctx.now();
  placed.members.clear();
  for (const work::worker_id& worker : workers)
    placed.members.push_back({.worker = worker});
  mine.units.Put(id, std::move(placed));
  MarkBegun(ctx, id.job);
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
  const unit* known = ctx.state.mine.units.Find(id);
  if (known == nullptr)
    return;
  const auto count = static_cast<std::uint32_t>(known->members.size());
  const work::resources need =
      NeedOf(StepOf(*ctx.state.mine.jobs.Find(id.job), id));
  const duration ran = ctx.now() - known->since;
  bool stopped = false;
  for (std::uint32_t i = 0; i < count; ++i) {
    member next = ctx.state.mine.units.Find(id)->members[i];
    if (next.state == member_state::kEnded || next.stopping)
      continue;
    next.stopping = true;
    next.order.reset();
    next.next_order_at = ctx.now();
    NoteLeaving(ctx, next.worker, need);
    PutMember(ctx, id, i, std::move(next));
    SendStop(ctx, id, i);
    stopped = true;
  }
  if (stopped)
    ctx.Log("unit_stopped", NameOf(id),
            {Field("why", std::string(why)), Field("ran", ran)});
}

bool StopPending(const context& ctx,
                 const work::unit_id& id,
                 std::uint32_t index) {
  const unit* known = ctx.state.mine.units.Find(id);
  if (known == nullptr || index >= known->members.size())
    return false;
  member next = known->members[index];
  const bool pending =
      next.state == member_state::kOrdered ||
      (next.state != member_state::kEnded && next.start_pending);
  if (!pending)
    return false;
  next.state = member_state::kOrdered;
  next.settled_at.reset();
  PutMember(ctx, id, index, std::move(next));
  StopUnit(ctx, id, "worker started again");
  return true;
}

void OnStartAnswered(const context& ctx, const work::start_answered& event) {
  const auto answered = TakeOrder(ctx, event.call, event.outcome);
  if (!answered)
    return;
  const order_reference& about = answered->about;
  member next = answered->current;
  next.order.reset();
  switch (event.outcome) {
    case work::order_outcome::kDone:
    // An outdated attempt has ended there: its end is listed, or was long ago.
    case work::order_outcome::kOutdated:
      next.state = member_state::kRunning;
      next.settled_at = ctx.now();
      PutMember(ctx, about.unit, about.member, std::move(next));
      if (event.outcome == work::order_outcome::kOutdated)
        HoldIfNeeded(ctx, event.worker);
      return;
    case work::order_outcome::kUnknown:
      next.start_pending = true;
      PutMember(ctx, about.unit, about.member, std::move(next));
      return;
    default:
      PutMember(ctx, about.unit, about.member, std::move(next));
      OnNotStarted(ctx, about, event.worker, event.outcome);
      return;
  }
}

void OnStopAnswered(const context& ctx, const work::stop_answered& event) {
  const auto answered = TakeOrder(ctx, event.call, event.outcome);
  if (!answered)
    return;
  const order_reference& about = answered->about;
  member next = answered->current;
  next.order.reset();
  if (event.outcome == work::order_outcome::kDone) {
    next.settled_at = ctx.now();
    // Its end is listed within the worker's time for a stop.
    next.next_order_at = ctx.now() + 4 * ctx.limits().order_retry;
  }
  const work::worker_id worker = next.worker;
  PutMember(ctx, about.unit, about.member, std::move(next));
  HoldIfNeeded(ctx, worker);
}

void AdvanceOrders(const context& ctx) {
  std::vector<std::pair<work::unit_id, std::uint32_t>> due;
  for (const auto& [id, each] : ctx.state.mine.units) {
    for (std::uint32_t i = 0; i < each.members.size(); ++i) {
      const member& one = each.members[i];
      const bool open = one.state != member_state::kEnded &&
                        (one.stopping || one.state == member_state::kOrdered);
      if (open && !one.order && ctx.now() >= one.next_order_at)
        due.emplace_back(id, i);
    }
  }
  for (const auto& [id, index] : due) {
    const unit* still = ctx.state.mine.units.Find(id);
    if (still != nullptr && index < still->members.size())
      AdvanceMember(ctx, id, index);
  }
  AdvanceStrays(ctx);
}

}  // namespace parsleyhitch::dispatch
