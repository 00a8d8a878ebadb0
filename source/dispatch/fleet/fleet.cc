// The leader's view of the workers. The leader keeps a hold, a long poll, open
// at each worker that runs tasks; the answers carry the worker's listing of
// running and ended tasks.

#include <algorithm>
#include <string>
#include <utility>

#include "dispatch/backoff.h"
#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/interference.h"
#include "dispatch/fleet/loads.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/leadership/leadership.h"
#include "dispatch/names.h"
#include "dispatch/orders/orders.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

// Consecutive unanswered holds after which a worker is reported as silent.
constexpr std::uint32_t kUnansweredHoldsUntilSilent = 2;

// How long ago the clock in a worker's answer was read at most: the answer may
// have waited to be sent, and to be processed here.
constexpr duration kOldestClock{3000};

// How often a silent worker without tasks is asked whether it is back.
constexpr duration kIdleProbeInterval{1000};

// How long a hold waits at most at a worker that is watched.
constexpr duration kWatchedHoldWait{200};

// A worker answers a hold at once while it lists an end that the hold does not
// acknowledge. Until its ends are stored it is held no more often than this.
constexpr duration kUnstoredEndPause{500};

bool IsBusy(const context& ctx, const work::worker_id& worker) {
  return !LoadOf(ctx, worker).tasks.empty() ||
         !OrphanTasksOn(ctx, worker).empty();
}

// True unless the latest hold failed. Its tasks end with their leases then.
bool IsHeld(const worker_state& row) {
  return row.unanswered_holds == 0 && !row.refused_hold;
}

// A lower bound of the worker's clock now, allowing for clock drift.
duration ClockLowerBound(const context& ctx, const worker_state& row) {
  const duration since = ctx.now() - row.clock_read_at;
  return *row.clock + since - since * ctx.limits().clock_drift_permille / 1000;
}

// The time after which a lease given now has expired even on the slowest clock.
duration LeaseExpiryDelay(const context& ctx, duration lease) {
  return lease + lease * ctx.limits().clock_drift_permille / 1000 +
         ctx.limits().lapse_margin;
}

// True when the leases of all tasks started on the worker have expired.
bool HaveLeasesExpired(const context& ctx, const worker_state& row) {
  const bool earlier_leases_run = ctx.now() < row.earlier_leases_end_at;
  if (!row.clock)
    return !earlier_leases_run;
  return !earlier_leases_run && ClockLowerBound(ctx, row) >=
                                    row.lease_until + ctx.limits().lapse_margin;
}

// Records the tasks on the worker as given up: they may have ended successfully
// without the leader knowing.
void NoteAbandonedTasks(const context& ctx, const work::worker_id& worker) {
  worker_state row = *ctx.state.leader.workers.Find(worker);
  for (const auto& [unit_id, index] : LoadOf(ctx, worker).tasks) {
    const unit* each = ctx.state.leader.units.Find(unit_id);
    if (each != nullptr)
      row.abandoned_tasks.insert({TaskOf(unit_id, index), each->attempt});
  }
  ctx.state.leader.workers.Put(worker, std::move(row));
}

// The last end that may be acknowledged to the worker.
std::uint64_t AcknowledgeableEnd(const worker_state& row) {
  return row.withheld_end
             ? std::min(row.last_durable_end, *row.withheld_end - 1)
             : row.last_durable_end;
}

// Lets the withheld end, and those after it, be acknowledged once all leases
// have expired. The worker gets no new ones meanwhile, as it is not
// schedulable.
void ReleaseWithheldEndIfDue(const context& ctx,
                             const work::worker_id& worker) {
  const worker_state& known = *ctx.state.leader.workers.Find(worker);
  const bool due = known.withheld_end && !IsBusy(ctx, worker) &&
                   HaveLeasesExpired(ctx, known);
  if (!due)
    return;
  ctx.Log("end_released", worker.value(),
          {Field("number", *known.withheld_end)});
  worker_state row = known;
  row.withheld_end.reset();
  ctx.state.leader.workers.Put(worker, std::move(row));
  ctx.state.leader.plan_due = true;
}

void EndLostTasks(const context& ctx,
                  const work::worker_id& worker,
                  std::string_view why) {
  const auto tasks = LoadOf(ctx, worker).tasks;
  if (!tasks.empty()) {
    ctx.Warn("tasks_lost", worker.value(),
             {Field("count", tasks.size()), Field("why", std::string(why))});
  }
  CountLosses(ctx, worker);
  for (const auto& [unit, index] : tasks)
    EndMember(ctx, unit, index, gang_effect::kKeepsOthers);
  for (const orphan_key& each : OrphanTasksOn(ctx, worker))
    ctx.state.leader.orphan_tasks.Erase(each);
}

// Marks the worker's tasks as unverified after its restart, so that the next
// listing decides: the answer to a start does not tell whether the old process
// or the new one received it.
void MarkTasksUnverified(const context& ctx, const work::worker_id& worker) {
  const auto tasks = LoadOf(ctx, worker).tasks;
  for (const auto& [unit_id, index] : tasks) {
    if (StopIfStartPending(ctx, unit_id, index))
      continue;
    unit placed = *ctx.state.leader.units.Find(unit_id);
    if (placed.members[index].state == member_state::kEnded)
      continue;
    placed.members[index].state = member_state::kUnverified;
    ctx.state.leader.units.Put(unit_id, std::move(placed));
  }
}

// The state of a worker that has restarted and so has forgotten its earlier
// tasks.
worker_state RestartedWorker(const context& ctx,
                             const work::worker_id& worker,
                             const worker_state& row,
                             std::uint64_t life) {
  ctx.Log("worker_restarted", worker.value(),
          {Field("life", life), Field("previous", row.listed().life)});
  DropProcessedEnds(ctx, worker);
  if (life != row.listed().life)
    CountLosses(ctx, worker);
  MarkTasksUnverified(ctx, worker);
  const work::registered_worker& before = row.listed();
  worker_state next;
  next.entry_outdated = life != before.life;
  next.entry.Put({.worker = before.worker,
                  .service = before.service,
                  .address = before.address,
                  .rack = before.rack,
                  .labels = before.labels,
                  .capacity = before.capacity,
                  .draining = false,
                  .life = life,
                  .failure_domain = before.failure_domain});
  // The new process may already have been told to start tasks, under leases up
  // to the longest that a worker grants.
  next.earlier_leases_end_at =
      ctx.now() + LeaseExpiryDelay(ctx, ctx.env.longest_lease);
  return next;
}

void RecordAnswer(const context& ctx,
                  worker_state& row,
                  const std::optional<duration>& clock) {
  row.unanswered_holds = 0;
  row.refused_hold = false;
  row.disconnected_at.reset();
  row.answered_at = ctx.now();
  if (!clock)
    return;
  row.clock = clock;
  row.clock_read_at = ctx.now();
}

void ApplyListing(const context& ctx,
                  const work::worker_id& worker,
                  const work::worker_listing& listing,
                  std::optional<duration> clock,
                  timestamp requested_at) {
  const std::uint64_t processed_before =
      ctx.state.leader.workers.Find(worker)->last_processed_end;
  std::uint64_t last_processed_end = processed_before;
  for (const work::ended_task& end : listing.ended) {
    if (end.number > last_processed_end)
      OnTaskEnded(ctx, worker, end);
    last_processed_end = std::max(last_processed_end, end.number);
  }
  OnWorkerSeen(ctx, worker, listing.life);
  worker_state row = *ctx.state.leader.workers.Find(worker);
  row.last_processed_end = last_processed_end;
  // Whatever of them has ended is in this listing.
  row.abandoned_tasks.clear();
  ctx.state.leader.workers.Put(worker, std::move(row));
  if (last_processed_end > processed_before)
    NoteEndsProcessed(ctx, worker, last_processed_end);
  for (const work::running_task& task : listing.running)
    OnTaskRunning(ctx, worker, task);
  EndMissingTasks(ctx, worker, listing, clock, requested_at);
  ObserveInterference(ctx, worker, listing);
}

// Delays the next hold of a worker that lists ends which can't be acknowledged
// yet.
void DelayHoldUntilEndsAreStored(const context& ctx,
                                 const work::worker_id& worker) {
  const worker_state* known = ctx.state.leader.workers.Find(worker);
  if (AcknowledgeableEnd(*known) >= known->last_processed_end)
    return;
  worker_state row = *known;
  row.next_hold_at = ctx.now() + kUnstoredEndPause;
  ctx.state.leader.workers.Put(worker, std::move(row));
}

void OnHoldSucceeded(const context& ctx,
                     const work::worker_id& worker,
                     worker_state row,
                     const work::hold_answered& event) {
  const std::uint64_t life = event.listing->life;
  // The answer to a hold that was sent to the process known here, so another
  // one has followed it, also if it names an earlier start: the machine's clock
  // may have been set back.
  if (life != row.listed().life && life != 0 && row.listed().life != 0)
    row = RestartedWorker(ctx, worker, row, life);
  const timestamp requested_at = row.hold_sent_at;
  const bool was_schedulable = IsSchedulable(row);
  RecordAnswer(ctx, row, event.worker_clock);
  row.listed_after_lapse = HaveLeasesExpired(ctx, row);
  row.reached_late =
      row.reached_late || (!row.fenced && ctx.state.leader.reconciled);
  row.fenced = true;
  row.last_acknowledged_end =
      std::max(row.last_acknowledged_end, row.hold_acknowledged_end);
  row.next_hold_at = ctx.now();
  ctx.state.leader.workers.Put(worker, std::move(row));
  ApplyListing(ctx, worker, *event.listing, event.worker_clock, requested_at);
  SettleProcessedEnds(ctx);
  DelayHoldUntilEndsAreStored(ctx, worker);
  if (!was_schedulable)
    ctx.state.leader.plan_due = true;
}

void OnHoldFailed(const context& ctx,
                  const work::worker_id& worker,
                  worker_state row,
                  work::order_outcome outcome) {
  if (work::IsUnknown(outcome))
    row.unanswered_holds += 1;
  if (work::IsUnknown(outcome) &&
      row.unanswered_holds == kUnansweredHoldsUntilSilent) {
    ctx.Warn("worker_silent", worker.value(),
             {Field("answered_ago", ctx.now() - row.answered_at)});
  }
  if (!work::IsUnknown(outcome) && !row.refused_hold) {
    row.refused_hold = true;
    ctx.Warn("hold_refused", worker.value(),
             {Field("outcome", NameOf(outcome)),
              Field("answered_ago", ctx.now() - row.answered_at)});
  }
  const bool idle = row.fenced && !IsBusy(ctx, worker);
  row.next_hold_at =
      ctx.now() + (idle ? kIdleProbeInterval : ctx.limits().order_retry);
  ctx.state.leader.workers.Put(worker, std::move(row));
}

bool IsRemovalDue(const context& ctx, const worker_state& row) {
  return !row.is_listed &&
         ctx.now() - row.unlisted_since >= ctx.limits().unlisted_gone &&
         !IsStreamFailing(ctx, work::feed::kWorkers, duration(0));
}

void AdvanceWorker(const context& ctx, const work::worker_id& worker) {
  const worker_state* row = ctx.state.leader.workers.Find(worker);
  const bool unreachable =
      row->replaced || !IsHeld(*row) || row->listed().address.empty();
  // A missing registry entry does not show that the worker has left: the entry
  // of a worker that is cut off expires too, before the leases of its tasks.
  if (unreachable && IsBusy(ctx, worker) && HaveLeasesExpired(ctx, *row)) {
    NoteAbandonedTasks(ctx, worker);
    EndLostTasks(ctx, worker, "lease lapsed");
  }
  ReleaseWithheldEndIfDue(ctx, worker);
  row = ctx.state.leader.workers.Find(worker);
  const bool idle =
      !IsBusy(ctx, worker) && (row->replaced || HaveLeasesExpired(ctx, *row));
  const bool has_unread_end =
      !unreachable && row->last_acknowledged_end < row->last_processed_end;
  if (IsRemovalDue(ctx, *row) && idle && !has_unread_end) {
    ctx.Log("worker_deleted", worker.value());
    ctx.state.leader.workers.Erase(worker);
    ctx.state.leader.loads.Erase(worker);
    DropProcessedEnds(ctx, worker);
    UpdateAdmission(ctx, worker);
    return;
  }
  UpdateAdmission(ctx, worker);
  HoldIfNeeded(ctx, worker);
}

// Workers drop out of the registry during an outage of the store. True when
// they have had time to register again, and the outage does not matter to this
// leader: those that still do not reach the store may run tasks that the leader
// of that time started without a record. Any stream's outage counts, as only a
// leader reads the registry, and only the workers write there.
bool IsRegistryComplete(const context& ctx) {
  const duration time_to_register = ctx.limits().unlisted_gone;
  return ctx.state.workers.snapshot_complete && !IsAnyStreamFailing(ctx) &&
         std::ranges::all_of(ctx.state.store_health, [&](const auto& entry) {
           const stream_health& health = entry.second;
           return ctx.state.workers.confirmed_at >=
                      health.recovered_at + time_to_register &&
                  ctx.state.leader.elected_at >=
                      health.outage_ended_at + time_to_register;
         });
}

// True when every worker was reached, or its tasks from earlier leaders have
// expired.
bool AreEarlierTasksKnown(const context& ctx) {
  if (ctx.now() >= EarlierLeasesEndAt(ctx))
    return true;
  return IsRegistryComplete(ctx) &&
         std::ranges::all_of(ctx.state.leader.workers, [&](const auto& entry) {
           return entry.second.fenced ||
                  ctx.now() >= entry.second.earlier_leases_end_at;
         });
}

void ResolveEarlierTasksIfDue(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  if (!leader.earlier_tasks_unknown || !AreEarlierTasksKnown(ctx))
    return;
  leader.earlier_tasks_unknown = false;
  leader.plan_due = true;
  ctx.Log("earlier_tasks_known", ctx.env.self.value(),
          {Field("epoch", leader.epoch),
           Field("took", ctx.now() - leader.elected_at)});
}

// Ends the reconciliation when every listed worker was contacted or the time
// for it is over.
void FinishReconcilingIfDue(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  if (leader.reconciled || !leader.restored ||
      !ctx.state.workers.snapshot_complete)
    return;
  std::uint64_t unreached = 0;
  std::uint64_t unlisted = 0;
  for (const auto& [worker, row] : leader.workers) {
    unreached += row.is_listed && !row.fenced ? 1 : 0;
    unlisted += !row.is_listed && !row.fenced ? 1 : 0;
  }
  const bool waited =
      ctx.now() - leader.elected_at >= 2 * ctx.limits().settle_timeout;
  if (unreached > 0 && !waited)
    return;
  leader.reconciled = true;
  // The earlier leader's latest starts may have no record yet, also those on
  // workers that it had admitted and the registry no longer lists.
  leader.earlier_tasks_unknown = leader.earlier_tasks_unknown ||
                                 (unreached + unlisted > 0 && leader.epoch > 1);
  leader.plan_due = true;
  ctx.Log(
      "workers_reconciled", ctx.env.self.value(),
      {Field("epoch", leader.epoch), Field("workers", leader.workers.size()),
       Field("unreached", unreached), Field("unlisted", unlisted),
       Field("took", ctx.now() - leader.elected_at)});
}

}  // namespace

timestamp EarlierLeasesEndAt(const context& ctx) {
  return ctx.state.leader.elected_at + ctx.limits().authority +
         LeaseExpiryDelay(ctx, ctx.limits().lease);
}

duration ClockNow(const context& ctx, const worker_state& row) {
  return *row.clock + (ctx.now() - row.clock_read_at);
}

void UpsertWorker(const context& ctx, const work::registered_worker& entry) {
  auto& workers = ctx.state.leader.workers;
  const worker_state* known = workers.Find(entry.worker);
  worker_state row = known == nullptr ? worker_state() : *known;
  if (known == nullptr)
    row.earlier_leases_end_at = EarlierLeasesEndAt(ctx);
  const std::uint64_t life = row.listed().life;
  // The registry entry was written before the worker's latest restart.
  if (life > entry.life)
    return;
  const bool restarted = life != 0 && entry.life > life;
  if (restarted)
    row = RestartedWorker(ctx, entry.worker, row, entry.life);
  const bool changed = restarted ||
                       (known != nullptr && known->entry_outdated) ||
                       known == nullptr || !known->is_listed ||
                       known->listed().draining != entry.draining;
  row.entry.Put(entry);
  row.entry_outdated = false;
  row.is_listed = true;
  NoteDeparture(ctx, row);
  workers.Put(entry.worker, std::move(row));
  UpdateAdmission(ctx, entry.worker);
  if (!changed)
    return;
  ctx.Log(entry.draining ? "worker_draining" : "worker_listed",
          entry.worker.value(),
          {Field("rack", entry.rack.value()), Field("life", entry.life)});
  ctx.state.leader.plan_due = true;
  HoldIfNeeded(ctx, entry.worker);
}

void AddUnlistedWorker(const context& ctx, const work::worker_id& worker) {
  worker_state row{.is_listed = false, .unlisted_since = ctx.now()};
  row.earlier_leases_end_at = EarlierLeasesEndAt(ctx);
  ctx.state.leader.workers.Put(worker, std::move(row));
}

void ObserveWorkerClock(const context& ctx,
                        const work::worker_id& worker,
                        const std::optional<duration>& clock) {
  const worker_state* row = ctx.state.leader.workers.Find(worker);
  const bool known = clock && row != nullptr && row->clock;
  if (!known || *clock + kOldestClock >= ClockLowerBound(ctx, *row))
    return;
  ctx.state.leader.workers.Put(
      worker, RestartedWorker(ctx, worker, *row, row->listed().life));
  HoldIfNeeded(ctx, worker);
}

void MarkWorkerUnlisted(const context& ctx, const work::worker_id& worker) {
  const worker_state* known = ctx.state.leader.workers.Find(worker);
  if (known == nullptr || !known->is_listed)
    return;
  worker_state row = *known;
  row.is_listed = false;
  row.unlisted_since = ctx.now();
  ctx.state.leader.workers.Put(worker, std::move(row));
  ctx.Log("worker_unlisted", worker.value());
}

void HoldIfNeeded(const context& ctx, const work::worker_id& worker) {
  const worker_state* known = ctx.state.leader.workers.Find(worker);
  if (known == nullptr || known->hold || known->replaced ||
      known->listed().address.empty() || ctx.now() < known->next_hold_at ||
      !ctx.state.leader.restored || !HasAuthority(ctx))
    return;
  const bool busy = IsBusy(ctx, worker);
  const std::uint64_t acknowledged = AcknowledgeableEnd(*known);
  const bool has_unacknowledged_end =
      acknowledged > known->last_acknowledged_end;
  const bool silent = !IsHeld(*known);
  if (known->fenced && !busy && !has_unacknowledged_end && !silent)
    return;
  worker_state row = *known;
  const bool may_wait = row.fenced && busy && !silent;
  const duration longest_wait =
      ctx.state.leader.watched_workers.contains(worker)
          ? std::min(kWatchedHoldWait, ctx.limits().hold_wait)
          : ctx.limits().hold_wait;
  const duration wait = may_wait ? longest_wait : duration(0);
  std::optional<duration> lease_until;
  // No lease for a worker that does not answer: its tasks are replaced only
  // after its lease has expired.
  if (row.clock && busy && !silent) {
    lease_until = ClockNow(ctx, row) + ctx.limits().lease;
    row.lease_until = std::max(row.lease_until, *lease_until);
  }
  row.hold = ctx.NewCall();
  row.hold_sent_at = ctx.now();
  row.hold_acknowledged_end = acknowledged;
  SendOrder(ctx,
            work::hold_worker{.call = *row.hold,
                              .target = TargetOf(ctx, worker, row),
                              .lease_until = lease_until,
                              .acknowledged = acknowledged,
                              .wait = wait,
                              .timeout = wait + ctx.limits().order_timeout});
  ctx.state.leader.workers.Put(worker, std::move(row));
}

void NoteDisconnection(const context& ctx,
                       const work::worker_id& worker,
                       work::order_outcome outcome) {
  const worker_state* known = ctx.state.leader.workers.Find(worker);
  if (outcome != work::order_outcome::kDisconnected || known == nullptr ||
      known->disconnected_at)
    return;
  worker_state row = *known;
  row.disconnected_at = ctx.now();
  ctx.state.leader.workers.Put(worker, std::move(row));
}

void OnHoldAnswered(const context& ctx, const work::hold_answered& event) {
  NoteDisconnection(ctx, event.worker, event.outcome);
  const worker_state* known = ctx.state.leader.workers.Find(event.worker);
  if (known == nullptr || known->hold != event.call)
    return;
  worker_state row = *known;
  row.hold.reset();
  switch (event.outcome) {
    case work::order_outcome::kDone:
      if (event.listing)
        OnHoldSucceeded(ctx, event.worker, std::move(row), event);
      else
        OnHoldFailed(ctx, event.worker, std::move(row), event.outcome);
      break;
    case work::order_outcome::kFenced:
      ObserveEpoch(ctx, ctx.state.leader.epoch + 1, "worker_fenced");
      return;
    case work::order_outcome::kRestarted:
      OnWorkerReplaced(ctx, event.worker);
      return;
    default:
      OnHoldFailed(ctx, event.worker, std::move(row), event.outcome);
      break;
  }
  if (ctx.state.leadership.current_role == role::kLeader)
    HoldIfNeeded(ctx, event.worker);
}

void OnWorkerReplaced(const context& ctx, const work::worker_id& worker) {
  const worker_state* known = ctx.state.leader.workers.Find(worker);
  if (known == nullptr || known->replaced)
    return;
  ctx.Warn("worker_replaced", worker.value(),
           {Field("life", known->listed().life),
            Field("answered_ago", ctx.now() - known->answered_at)});
  worker_state row = *known;
  row.replaced = true;
  // It carries out no order of an earlier leader.
  row.fenced = true;
  row.hold.reset();
  row.withheld_end.reset();
  ctx.state.leader.workers.Put(worker, std::move(row));
  DropProcessedEnds(ctx, worker);
  EndLostTasks(ctx, worker, "worker replaced");
  ctx.state.leader.plan_due = true;
}

void AdvanceWorkers(const context& ctx) {
  if (!ctx.state.leader.restored)
    return;
  SettleProcessedEnds(ctx);
  AdvanceSuspects(ctx);
  std::vector<work::worker_id> all;
  all.reserve(ctx.state.leader.workers.size());
  for (const auto& [worker, row] : ctx.state.leader.workers)
    all.push_back(worker);
  for (const work::worker_id& worker : all)
    AdvanceWorker(ctx, worker);
  ClearLeavingWorkers(ctx);
  ResolveEarlierTasksIfDue(ctx);
  FinishReconcilingIfDue(ctx);
}

bool IsSchedulable(const worker_state& row) {
  return row.is_listed && !row.entry_outdated && !row.listed().draining &&
         row.fenced && !row.replaced && row.clock && IsHeld(row) &&
         !row.withheld_end;
}

void RecordWorkerFailure(const context& ctx,
                         const work::worker_id& worker,
                         const work::job_id& job,
                         std::string_view why) {
  const worker_state* known = ctx.state.leader.workers.Find(worker);
  if (known == nullptr || known->last_failed == job)
    return;
  worker_state row = *known;
  row.failures += 1;
  row.last_failed = job;
  if (row.failures >= ctx.limits().failures_to_shun) {
    const duration shun =
        ExponentialBackoff(ctx.limits().shun_base, ctx.limits().shun_max,
                           row.failures - ctx.limits().failures_to_shun);
    row.shunned_until = ctx.now() + shun;
    ctx.Log("worker_shunned", worker.value(),
            {Field("why", std::string(why)), Field("failures", row.failures),
             Field("for", shun)});
  }
  ctx.state.leader.workers.Put(worker, std::move(row));
}

}  // namespace parsleyhitch::dispatch
