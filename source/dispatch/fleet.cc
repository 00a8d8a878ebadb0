// Workers as the leader knows them. A worker that has something to carry is
// held by one long call after another; the answers carry its lists.

#include <algorithm>
#include <string>
#include <utility>

#include "dispatch/backoff.h"
#include "dispatch/loads.h"
#include "dispatch/parts.h"

namespace parsleyhitch::dispatch {

namespace {

// Orders without an answer after which a worker counts as out of reach.
constexpr std::uint32_t kSilentAfter = 2;

bool IsBusy(const context& ctx, const work::worker_id& worker) {
  return !LoadOf(ctx, worker).tasks.empty() || !StraysOn(ctx, worker).empty();
}

// A time that the worker's clock has surely passed.
duration SurelyPassed(const context& ctx, const worker_row& row) {
  const duration since = ctx.now() - row.clock_at;
  return *row.clock + since - since * ctx.limits().clock_drift_permille / 1000;
}

// After which a lease given now has surely lapsed, on the slowest clock.
duration TimeToLapse(const context& ctx, duration lease) {
  return lease + lease * ctx.limits().clock_drift_permille / 1000 +
         ctx.limits().lapse_margin;
}

// Whatever was started on the worker has lapsed.
bool HasLapsed(const context& ctx, const worker_row& row) {
  const bool early = ctx.now() < row.lapsed_by;
  if (!row.clock)
    return !early;
  return !early &&
         SurelyPassed(ctx, row) >= row.lease_until + ctx.limits().lapse_margin;
}

void LoseTasks(const context& ctx,
               const work::worker_id& worker,
               std::string_view why) {
  const auto tasks = LoadOf(ctx, worker).tasks;
  if (!tasks.empty()) {
    ctx.Warn("tasks_lost", worker.value(),
             {Field("count", tasks.size()), Field("why", std::string(why))});
  }
  for (const auto& [unit, index] : tasks)
    EndMember(ctx, unit, index, gang_effect::kLeavesTheRest);
  for (const stray_id& each : StraysOn(ctx, worker))
    ctx.state.mine.strays.Erase(each);
}

// Tasks that may have reached the worker's new life are asked for there: a
// start that was answered does not tell which life answered.
void AskAgain(const context& ctx, const work::worker_id& worker) {
  const auto tasks = LoadOf(ctx, worker).tasks;
  for (const auto& [unit_name, index] : tasks) {
    if (StopPending(ctx, unit_name, index))
      continue;
    unit placed = *ctx.state.mine.units.Find(unit_name);
    if (placed.members[index].state == member_state::kEnded)
      continue;
    placed.members[index].state = member_state::kUnverified;
    ctx.state.mine.units.Put(unit_name, std::move(placed));
  }
}

// The worker started again: it knows nothing of before.
worker_row Reborn(const context& ctx,
                  const work::worker_id& worker,
                  const worker_row& row,
                  std::uint64_t life) {
  ctx.Log("worker_reborn", worker.value(),
          {Field("life", life), Field("previous", row.listed().life)});
  // Its ends are numbered anew: those being stored are the former life's.
  ctx.state.mine.saving.erase(worker);
  AskAgain(ctx, worker);
  const work::registered_worker& before = row.listed();
  worker_row next;
  next.entry.Put({.worker = before.worker,
                  .service = before.service,
                  .address = before.address,
                  .rack = before.rack,
                  .labels = before.labels,
                  .capacity = before.capacity,
                  .draining = false,
                  .life = life});
  // What its new life was told to start may be held for as long as it allows.
  next.lapsed_by = ctx.now() + TimeToLapse(ctx, ctx.env.longest_lease);
  return next;
}

void Learn(const context& ctx,
           worker_row& row,
           const std::optional<duration>& clock) {
  row.silent = 0;
  row.answered_at = ctx.now();
  if (!clock)
    return;
  row.clock = clock;
  row.clock_at = ctx.now();
}

void TakeLists(const context& ctx,
               const work::worker_id& worker,
               const work::worker_listing& listing,
               timestamp asked_at) {
  std::uint64_t noted = ctx.state.mine.workers.Find(worker)->noted;
  for (const work::ended_task& end : listing.ended) {
    if (end.number > noted)
      NoteEnd(ctx, worker, end);
    noted = std::max(noted, end.number);
  }
  worker_row row = *ctx.state.mine.workers.Find(worker);
  row.noted = noted;
  ctx.state.mine.workers.Put(worker, std::move(row));
  for (const work::running_task& task : listing.running)
    NoteRunning(ctx, worker, task);
  EndMissing(ctx, worker, listing, asked_at);
}

void OnHeld(const context& ctx,
            const work::worker_id& worker,
            worker_row row,
            const work::hold_answered& event) {
  const std::uint64_t life = event.listing->life;
  if (life < row.listed().life) {
    ctx.state.mine.workers.Put(worker, std::move(row));
    return;
  }
  if (life > row.listed().life && row.listed().life != 0)
    row = Reborn(ctx, worker, row, life);
  const timestamp asked_at = row.hold_sent_at;
  const bool took_work = TakesWork(row);
  Learn(ctx, row, event.worker_clock);
  row.fenced = true;
  row.acknowledged = std::max(row.acknowledged, row.hold_acknowledges);
  row.next_hold_at = ctx.now();
  ctx.state.mine.workers.Put(worker, std::move(row));
  TakeLists(ctx, worker, *event.listing, asked_at);
  if (!took_work)
    ctx.state.mine.plan_due = true;
}

void OnUnheld(const context& ctx,
              const work::worker_id& worker,
              worker_row row,
              work::order_outcome outcome) {
  if (outcome == work::order_outcome::kUnknown)
    row.silent += 1;
  if (outcome == work::order_outcome::kUnknown && row.silent == kSilentAfter) {
    ctx.Warn("worker_silent", worker.value(),
             {Field("answered_ago", ctx.now() - row.answered_at)});
  }
  row.next_hold_at = ctx.now() + ctx.limits().order_retry;
  ctx.state.mine.workers.Put(worker, std::move(row));
}

bool IsGone(const context& ctx, const worker_row& row) {
  return !row.is_listed &&
         ctx.now() - row.unlisted_since >= ctx.limits().unlisted_gone &&
         !IsStoreTroubled(ctx, duration(0));
}

// A worker that said it was leaving, is out of the registry and does not answer
// has left; what ran on it has ended.
bool HasLeft(const worker_row& row) {
  return !row.is_listed && row.listed().draining && row.silent >= kSilentAfter;
}

void AdvanceWorker(const context& ctx, const work::worker_id& worker) {
  const worker_row* row = ctx.state.mine.workers.Find(worker);
  const bool unreachable = row->silent > 0 || row->listed().address.empty();
  if (unreachable && IsBusy(ctx, worker)) {
    if (HasLeft(*row))
      LoseTasks(ctx, worker, "worker left");
    else if (HasLapsed(ctx, *row))
      LoseTasks(ctx, worker, "lease lapsed");
  }
  row = ctx.state.mine.workers.Find(worker);
  if (IsGone(ctx, *row) && unreachable && !IsBusy(ctx, worker)) {
    ctx.Log("worker_forgotten", worker.value());
    ctx.state.mine.workers.Erase(worker);
    ctx.state.mine.loads.Erase(worker);
    return;
  }
  HoldIfNeeded(ctx, worker);
}

// With nothing left to store, every end that was noted is durable.
void ReleaseEnds(const context& ctx) {
  leader_state& mine = ctx.state.mine;
  const bool all_stored =
      mine.unsaved.empty() && mine.progress.batch.empty() && mine.restored;
  if (!all_stored)
    return;
  std::vector<work::worker_id> due;
  for (const auto& [worker, row] : mine.workers) {
    if (row.noted > row.durable)
      due.push_back(worker);
  }
  for (const work::worker_id& worker : due) {
    worker_row row = *mine.workers.Find(worker);
    row.durable = row.noted;
    mine.workers.Put(worker, std::move(row));
  }
}

// Workers that were dropped from the registry while the store was away are back
// in it.
bool IsRegistryComplete(const context& ctx) {
  const timestamp complete_at =
      ctx.state.store_regained_at + ctx.limits().unlisted_gone;
  return ctx.state.workers.whole && !IsStoreTroubled(ctx, duration(0)) &&
         ctx.state.workers.confirmed_at >= complete_at;
}

// Every worker was reached, or what it ran under an earlier leader has lapsed.
bool AreEarlierTasksKnown(const context& ctx) {
  if (ctx.now() >= EarlierLeasesLapse(ctx))
    return true;
  return IsRegistryComplete(ctx) &&
         std::ranges::all_of(ctx.state.mine.workers, [&](const auto& entry) {
           return entry.second.fenced || ctx.now() >= entry.second.lapsed_by;
         });
}

void TakeCautionOffIfDue(const context& ctx) {
  leader_state& mine = ctx.state.mine;
  if (!mine.cautious || !AreEarlierTasksKnown(ctx))
    return;
  mine.cautious = false;
  mine.plan_due = true;
  ctx.Log(
      "earlier_tasks_known", ctx.env.me.value(),
      {Field("epoch", mine.epoch), Field("took", ctx.now() - mine.elected_at)});
}

// Every listed worker was asked, or there was time enough for it.
void SettleIfDue(const context& ctx) {
  leader_state& mine = ctx.state.mine;
  if (mine.settled || !mine.restored || !ctx.state.workers.whole)
    return;
  std::uint64_t open = 0;
  for (const auto& [worker, row] : mine.workers)
    open += row.is_listed && !row.fenced ? 1 : 0;
  const bool waited =
      ctx.now() - mine.elected_at >= 2 * ctx.limits().settle_timeout;
  if (open > 0 && !waited)
    return;
  mine.settled = true;
  mine.plan_due = true;
  ctx.Log(
      "workers_settled", ctx.env.me.value(),
      {Field("epoch", mine.epoch), Field("workers", mine.workers.size()),
       Field("unreached", open), Field("took", ctx.now() - mine.elected_at)});
}

}  // namespace

timestamp EarlierLeasesLapse(const context& ctx) {
  return ctx.state.mine.elected_at + ctx.limits().authority +
         TimeToLapse(ctx, ctx.limits().lease);
}

duration ClockNow(const context& ctx, const worker_row& row) {
  return *row.clock + (ctx.now() - row.clock_at);
}

void UpsertWorker(const context& ctx, const work::registered_worker& entry) {
  auto& workers = ctx.state.mine.workers;
  const worker_row* known = workers.Find(entry.worker);
  worker_row row = known == nullptr ? worker_row() : *known;
  if (known == nullptr)
    row.lapsed_by = EarlierLeasesLapse(ctx);
  const std::uint64_t life = row.listed().life;
  // An entry that was written before the worker's present start.
  if (life > entry.life)
    return;
  const bool reborn = life != 0 && entry.life > life;
  if (reborn)
    row = Reborn(ctx, entry.worker, row, entry.life);
  const bool news = reborn || known == nullptr || !known->is_listed ||
                    known->listed().draining != entry.draining;
  row.entry.Put(entry);
  row.is_listed = true;
  workers.Put(entry.worker, std::move(row));
  if (!news)
    return;
  ctx.Log(entry.draining ? "worker_draining" : "worker_listed",
          entry.worker.value(),
          {Field("rack", entry.rack.value()), Field("life", entry.life)});
  ctx.state.mine.plan_due = true;
  HoldIfNeeded(ctx, entry.worker);
}

void DropWorker(const context& ctx, const work::worker_id& worker) {
  const worker_row* known = ctx.state.mine.workers.Find(worker);
  if (known == nullptr || !known->is_listed)
    return;
  worker_row row = *known;
  row.is_listed = false;
  row.unlisted_since = ctx.now();
  ctx.state.mine.workers.Put(worker, std::move(row));
  ctx.Log("worker_unlisted", worker.value());
}

void HoldIfNeeded(const context& ctx, const work::worker_id& worker) {
  const worker_row* known = ctx.state.mine.workers.Find(worker);
  if (known == nullptr || known->hold || known->listed().address.empty() ||
      ctx.now() < known->next_hold_at || !ctx.state.mine.restored ||
      !HasAuthority(ctx))
    return;
  const bool busy = IsBusy(ctx, worker);
  const bool has_news = known->durable > known->acknowledged;
  if (known->fenced && !busy && !has_news)
    return;
  worker_row row = *known;
  const bool may_wait = row.fenced && !has_news && row.silent == 0;
  const duration wait = may_wait ? ctx.limits().hold_wait : duration(0);
  std::optional<duration> lease_until;
  // The lease of a silent worker must be able to lapse.
  if (row.clock && busy && row.silent == 0) {
    lease_until = ClockNow(ctx, row) + ctx.limits().lease;
    row.lease_until = std::max(row.lease_until, *lease_until);
  }
  row.hold = ctx.NewCall();
  row.hold_sent_at = ctx.now();
  row.hold_acknowledges = row.durable;
  ctx.Emit(work::hold_worker{.call = *row.hold,
                             .target = {.worker = worker,
                                        .address = row.listed().address,
                                        .token = ctx.state.mine.epoch},
                             .lease_until = lease_until,
                             .acknowledged = row.durable,
                             .wait = wait,
                             .timeout = wait + ctx.limits().order_timeout});
  ctx.state.mine.workers.Put(worker, std::move(row));
}

void OnHoldAnswered(const context& ctx, const work::hold_answered& event) {
  const worker_row* known = ctx.state.mine.workers.Find(event.worker);
  if (known == nullptr || known->hold != event.call)
    return;
  worker_row row = *known;
  row.hold.reset();
  switch (event.outcome) {
    case work::order_outcome::kDone:
      if (event.listing)
        OnHeld(ctx, event.worker, std::move(row), event);
      break;
    case work::order_outcome::kFenced:
      NoteEpoch(ctx, ctx.state.mine.epoch + 1, "worker_fenced");
      return;
    default:
      OnUnheld(ctx, event.worker, std::move(row), event.outcome);
      break;
  }
  if (ctx.state.lead.mine == role::kLeader)
    HoldIfNeeded(ctx, event.worker);
}

void AdvanceWorkers(const context& ctx) {
  if (!ctx.state.mine.restored)
    return;
  ReleaseEnds(ctx);
  std::vector<work::worker_id> all;
  all.reserve(ctx.state.mine.workers.size());
  for (const auto& [worker, row] : ctx.state.mine.workers)
    all.push_back(worker);
  for (const work::worker_id& worker : all)
    AdvanceWorker(ctx, worker);
  TakeCautionOffIfDue(ctx);
  SettleIfDue(ctx);
}

bool TakesWork(const worker_row& row) {
  return row.is_listed && !row.listed().draining && row.fenced && row.clock &&
         row.silent == 0;
}

void NoteFailure(const context& ctx,
                 const work::worker_id& worker,
                 const work::job_id& job,
                 std::string_view why) {
  const worker_row* known = ctx.state.mine.workers.Find(worker);
  if (known == nullptr || known->last_failed == job)
    return;
  worker_row row = *known;
  row.failures += 1;
  row.last_failed = job;
  if (row.failures >= ctx.limits().failures_to_shun) {
    const duration shun =
        DoubledPause(ctx.limits().shun_base, ctx.limits().shun_max,
                     row.failures - ctx.limits().failures_to_shun);
    row.shunned_until = ctx.now() + shun;
    ctx.Log("worker_shunned", worker.value(),
            {Field("why", std::string(why)), Field("failures", row.failures),
             Field("for", shun)});
  }
  ctx.state.mine.workers.Put(worker, std::move(row));
}

}  // namespace parsleyhitch::dispatch
