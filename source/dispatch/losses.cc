// Tasks that are lost with their workers. A task may crash each worker that
// starts it, and takes all that runs beside it along, so that a task that was
// lost just after its start is suspected, tried again alone, and given up at
// last. One that runs longer, or whose worker was only out of reach, is not the
// cause. At the time of its loss a crashed worker can't be told from a silent
// one; the latter comes back under its name and life, and its losses no longer
// count.

#include "dispatch/losses.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/loads.h"
#include "dispatch/names.h"
#include "dispatch/parts.h"
#include "dispatch/steps.h"

namespace parsleyhitch::dispatch {

namespace {

// From this many losses on, a unit gets workers of its own if there are any.
constexpr std::uint32_t kLossesUntilAlone = 2;
// A unit is given up after this many losses if nothing ran beside it at the
// last one, or after one more in any case. The users' bound is two further
// starts after three crashes; one start may have no record when its leader is
// lost.
constexpr std::uint32_t kMaxLossesAlone = 3;
constexpr std::uint32_t kMaxLosses = 4;
// Losses further apart than this are unrelated: a task that runs for days
// outlives workers that fail for causes of their own.
constexpr duration kLossWindow = std::chrono::minutes(5);

// A task that crashes the workers that start it does so within this time.
constexpr duration kCrashesWithin{1000};
// A unit is given up after this many losses whose cause it need not be. Without
// it a task that crashes its workers later would be started without end.
constexpr std::uint32_t kMaxLaterLosses = 16;
// One in so many workers of a service may be kept for suspects alone.
constexpr std::size_t kWorkersPerQuarantine = 8;

bool MayHaveStarted(const member& one) {
  return one.state != member_state::kEnded &&
         (one.state != member_state::kOrdered || one.start_orders_sent > 0);
}

// True if the worker's process ended so soon after the member's start that the
// task may have crashed it. A worker that is only out of reach shows nothing.
bool MayHaveCrashed(const worker_state& row,
                    const unit& placed,
                    const member& one) {
  return row.disconnected_at &&
         *row.disconnected_at <=
             one.started_at.value_or(placed.since) + kCrashesWithin;
}

// The units with tasks that may have run on the worker, and whether their start
// may have crashed it.
std::map<work::unit_id, loss_kind> UnitsOn(const context& ctx,
                                           const work::worker_id& worker,
                                           const worker_state& row) {
  std::map<work::unit_id, loss_kind> found;
  for (const auto& [id, index] : LoadOf(ctx, worker).tasks) {
    const unit* each = ctx.state.leader.units.Find(id);
    const bool placed = each != nullptr && each->phase == unit_phase::kPlaced &&
                        index < each->members.size();
    if (!placed || !MayHaveStarted(each->members[index]))
      continue;
    loss_kind& kind = found.emplace(id, loss_kind::kLater).first->second;
    if (MayHaveCrashed(row, *each, each->members[index]))
      kind = loss_kind::kAtStart;
  }
  return found;
}

std::uint32_t& CountOf(unit& lost, loss_kind kind) {
  return kind == loss_kind::kAtStart ? lost.losses : lost.later_losses;
}

// Counts the loss of an attempt once, with whichever of its workers is lost
// first.
bool CountLoss(const context& ctx, const work::unit_id& id, loss_kind kind) {
  unit lost = *ctx.state.leader.units.Find(id);
  if (lost.lost_attempts.contains(lost.attempt))
    return false;
  if (ctx.now() - lost.last_loss_at > kLossWindow) {
    lost.losses = 0;
    lost.later_losses = 0;
    lost.lost_attempts.clear();
  }
  lost.lost_attempts.emplace(lost.attempt, kind);
  CountOf(lost, kind) += 1;
  lost.last_loss_at = ctx.now();
  if (kind == loss_kind::kAtStart)
    ctx.state.leader.suspects.insert(id);
  ctx.state.leader.units.Put(id, std::move(lost));
  NoteUnitChanged(ctx, id);
  return true;
}

// True when all tasks of the placed unit are known to have run past the time in
// which they would have crashed their workers.
bool HasOutlivedStart(const context& ctx, const unit& each) {
  return each.phase == unit_phase::kPlaced &&
         std::ranges::all_of(each.members, [&](const member& one) {
           const worker_state* row = ctx.state.leader.workers.Find(one.worker);
           return one.started_at && row != nullptr &&
                  row->answered_at >= *one.started_at + kCrashesWithin;
         });
}

// What was lost before with workers that it may have crashed does not count any
// more.
void ClearLosses(const context& ctx, const work::unit_id& id) {
  unit cleared = *ctx.state.leader.units.Find(id);
  cleared.losses = 0;
  std::erase_if(cleared.lost_attempts, [](const auto& each) {
    return each.second == loss_kind::kAtStart;
  });
  ctx.state.leader.units.Put(id, std::move(cleared));
  NoteUnitChanged(ctx, id);
}

// Adds the unit's workers to the quarantine, as far as there is room.
void AddWorkersOf(const context& ctx, const unit& each, quarantine& found) {
  for (const member& one : each.members) {
    const worker_state* row = ctx.state.leader.workers.Find(one.worker);
    if (row == nullptr || one.state == member_state::kEnded ||
        found.workers.contains(one.worker))
      continue;
    std::size_t& left = found.left[row->listed().service];
    if (left == 0)
      return;
    left -= 1;
    found.workers.insert(one.worker);
  }
}

// The count does not include the attempt any more.
void TakeBackLoss(const context& ctx,
                  const work::unit_id& id,
                  std::uint64_t attempt) {
  const unit* known = ctx.state.leader.units.Find(id);
  if (known == nullptr)
    return;
  const auto counted = known->lost_attempts.find(attempt);
  if (counted == known->lost_attempts.end())
    return;
  unit kept = *known;
  CountOf(kept, counted->second) -= 1;
  kept.lost_attempts.erase(attempt);
  ctx.state.leader.units.Put(id, std::move(kept));
  NoteUnitChanged(ctx, id);
}

void ForgetOldLosses(const context& ctx) {
  std::erase_if(ctx.state.leader.losses, [&](const auto& each) {
    return ctx.now() - each.second.at > kLossWindow;
  });
}

void GiveUpIfLostTooOften(const context& ctx,
                          const work::unit_id& id,
                          const work::worker_id& worker,
                          loss_kind kind,
                          bool alone) {
  const unit& lost = *ctx.state.leader.units.Find(id);
  const std::uint32_t most = alone ? kMaxLossesAlone : kMaxLosses;
  ctx.Warn(
      "unit_lost", NameOf(id),
      {Field("worker", worker.value()), Field("losses", lost.losses),
       Field("later_losses", lost.later_losses),
       Field("alone", std::string(alone ? "yes" : "no")), Field("most", most)});
  const bool endless = StepOf(*ctx.state.leader.jobs.Find(id.job), id).endless;
  const bool too_often = kind == loss_kind::kAtStart
                             ? lost.losses >= most
                             : lost.later_losses >= kMaxLaterLosses;
  if (endless || !too_often)
    return;
  ctx.Count("units_given_up");
  CloseJob(ctx, id.job, work::job_phase::kFailed);
}

}  // namespace

void CountLosses(const context& ctx, const work::worker_id& worker) {
  // A draining worker has announced that it ends what runs on it.
  const worker_state* row = ctx.state.leader.workers.Find(worker);
  if (row == nullptr || row->listed().draining)
    return;
  ForgetOldLosses(ctx);
  const std::map<work::unit_id, loss_kind> units = UnitsOn(ctx, worker, *row);
  const auto at_start = std::ranges::count_if(units, [](const auto& each) {
    return each.second == loss_kind::kAtStart;
  });
  worker_losses lost{.life = row->listed().life, .at = ctx.now()};
  for (const auto& [id, kind] : units) {
    // Giving up one unit closes its job, and with it the job's other units.
    const active_job* job = ctx.state.leader.jobs.Find(id.job);
    if (job == nullptr || work::IsClosed(job->phase) ||
        !CountLoss(ctx, id, kind))
      continue;
    lost.attempts.insert({id, ctx.state.leader.units.Find(id)->attempt});
    GiveUpIfLostTooOften(ctx, id, worker, kind, at_start <= 1);
  }
  if (!lost.attempts.empty())
    ctx.state.leader.losses[worker] = std::move(lost);
}

void OnWorkerSeen(const context& ctx,
                  const work::worker_id& worker,
                  std::uint64_t life) {
  auto& losses = ctx.state.leader.losses;
  const auto found = losses.find(worker);
  if (found == losses.end() || life < found->second.life)
    return;
  const worker_losses lost = std::move(found->second);
  losses.erase(found);
  // A later life confirms the crash.
  if (life > lost.life)
    return;
  for (const auto& [id, attempt] : lost.attempts)
    TakeBackLoss(ctx, id, attempt);
}

bool IsSuspect(const unit& each) {
  return each.losses >= kLossesUntilAlone;
}

void AdvanceSuspects(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  leader.watched_workers.clear();
  std::erase_if(leader.suspects, [&](const work::unit_id& id) {
    const unit* each = leader.units.Find(id);
    if (each == nullptr || each->losses == 0)
      return true;
    if (HasOutlivedStart(ctx, *each)) {
      ctx.Log("unit_cleared", NameOf(id),
              {Field("losses", each->losses), Field("attempt", each->attempt)});
      ClearLosses(ctx, id);
      return true;
    }
    for (const member& one : each->members)
      leader.watched_workers.insert(one.worker);
    return false;
  });
}

quarantine QuarantineOf(const context& ctx) {
  quarantine found;
  for (const auto& [worker, row] : ctx.state.leader.workers) {
    if (IsSchedulable(row))
      found.left[row.listed().service] += 1;
  }
  for (auto& [service, left] : found.left)
    left = std::max<std::size_t>(left / kWorkersPerQuarantine, 1);
  for (const work::unit_id& id : ctx.state.leader.suspects) {
    const unit* each = ctx.state.leader.units.Find(id);
    if (each != nullptr && IsSuspect(*each))
      AddWorkersOf(ctx, *each, found);
  }
  return found;
}

}  // namespace parsleyhitch::dispatch
