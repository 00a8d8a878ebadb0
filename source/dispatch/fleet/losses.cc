// Tasks that are lost with their workers. A task may crash each worker that
// starts it, and takes all that runs beside it along, so that a task that was
// lost just after its start is suspected, tried again alone, and given up at
// last. One that runs longer, or whose worker was only out of reach, is not the
// cause. At the time of its loss a crashed worker can't be told from a silent
// one; the latter comes back under its name and life, and its losses no longer
// count.

#include "dispatch/fleet/losses.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/loads.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/names.h"
#include "dispatch/store/store.h"

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

// Counts the loss of an attempt once, with whichever of its workers is lost
// first, also if an earlier leader has counted it.
bool CountLoss(const context& ctx,
               const work::unit_id& id,
               const attempt_loss& loss) {
  unit lost = *ctx.state.leader.units.Find(id);
  if (lost.lost_attempts.contains(lost.attempt))
    return false;
  if (ctx.now() - lost.last_loss_at > kLossWindow) {
    lost.unnamed_losses.clear();
    lost.lost_attempts.clear();
  }
  lost.lost_attempts.emplace(lost.attempt, loss);
  lost.last_loss_at = ctx.now();
  if (loss.kind == loss_kind::kAtStart)
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
  cleared.unnamed_losses.erase(loss_kind::kAtStart);
  std::erase_if(cleared.lost_attempts, [](const auto& each) {
    return each.second.kind == loss_kind::kAtStart;
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
  if (!known->lost_attempts.contains(attempt))
    return;
  unit kept = *known;
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
  const std::uint32_t at_start = LossesOf(lost, loss_kind::kAtStart);
  const std::uint32_t later = LossesOf(lost, loss_kind::kLater);
  const std::uint32_t most = alone ? kMaxLossesAlone : kMaxLosses;
  ctx.Warn(
      "unit_lost", NameOf(id),
      {Field("worker", worker.value()), Field("losses", at_start),
       Field("later_losses", later),
       Field("alone", std::string(alone ? "yes" : "no")), Field("most", most)});
  const bool endless = StepOf(*ctx.state.leader.jobs.Find(id.job), id).endless;
  const bool too_often =
      kind == loss_kind::kAtStart ? at_start >= most : later >= kMaxLaterLosses;
  if (endless || !too_often)
    return;
  ctx.Count("units_given_up");
  CloseJob(ctx, id.job, work::job_phase::kFailed);
}

// Notes with which process of its worker the attempt was lost, unless a later
// one is known, which confirms the crash.
void NoteLostWith(const context& ctx,
                  const std::pair<work::unit_id, std::uint64_t>& attempt,
                  const attempt_loss& loss) {
  worker_losses& known = ctx.state.leader.losses[loss.worker];
  if (loss.life < known.life)
    return;
  if (loss.life > known.life)
    known = {.life = loss.life};
  known.at = ctx.now();
  known.attempts.insert(attempt);
}

}  // namespace

std::uint32_t LossesOf(const unit& each, loss_kind kind) {
  const auto named = std::ranges::count_if(
      each.lost_attempts,
      [&](const auto& lost) { return lost.second.kind == kind; });
  const auto unnamed = each.unnamed_losses.find(kind);
  return static_cast<std::uint32_t>(named) +
         (unnamed == each.unnamed_losses.end() ? 0 : unnamed->second);
}

void RestoreLosses(const context& ctx,
                   const work::unit_id& id,
                   const work::unit_progress& saved) {
  if (saved.losses == 0 && saved.later_losses == 0)
    return;
  unit restored = *ctx.state.leader.units.Find(id);
  std::map<loss_kind, std::uint32_t> unnamed{
      {loss_kind::kAtStart, saved.losses},
      {loss_kind::kLater, saved.later_losses}};
  for (const work::lost_attempt& each : saved.lost_attempts) {
    const attempt_loss loss{
        .kind = each.at_start ? loss_kind::kAtStart : loss_kind::kLater,
        .worker = each.worker,
        .life = each.life};
    restored.lost_attempts.emplace(each.attempt, loss);
    if (unnamed[loss.kind] > 0)
      unnamed[loss.kind] -= 1;
    NoteLostWith(ctx, {id, each.attempt}, loss);
  }
  std::erase_if(unnamed, [](const auto& each) { return each.second == 0; });
  restored.unnamed_losses = std::move(unnamed);
  if (LossesOf(restored, loss_kind::kAtStart) > 0)
    ctx.state.leader.suspects.insert(id);
  ctx.state.leader.units.Put(id, std::move(restored));
}

void CountLosses(const context& ctx, const work::worker_id& worker) {
  // A draining worker has announced that it ends what runs on it.
  const worker_state* row = ctx.state.leader.workers.Find(worker);
  if (row == nullptr || row->listed().draining)
    return;
  ForgetOldLosses(ctx);
  const std::uint64_t life = row->listed().life;
  const std::map<work::unit_id, loss_kind> units = UnitsOn(ctx, worker, *row);
  const auto at_start = std::ranges::count_if(units, [](const auto& each) {
    return each.second == loss_kind::kAtStart;
  });
  for (const auto& [id, kind] : units) {
    // Giving up one unit closes its job, and with it the job's other units.
    const active_job* job = ctx.state.leader.jobs.Find(id.job);
    if (job == nullptr || work::IsClosed(job->phase))
      continue;
    const std::uint64_t attempt = ctx.state.leader.units.Find(id)->attempt;
    const attempt_loss loss{.kind = kind, .worker = worker, .life = life};
    if (!CountLoss(ctx, id, loss))
      continue;
    NoteLostWith(ctx, {id, attempt}, loss);
    GiveUpIfLostTooOften(ctx, id, worker, kind, at_start <= 1);
  }
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
  return LossesOf(each, loss_kind::kAtStart) >= kLossesUntilAlone;
}

void AdvanceSuspects(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  leader.watched_workers.clear();
  std::erase_if(leader.suspects, [&](const work::unit_id& id) {
    const unit* each = leader.units.Find(id);
    if (each == nullptr || LossesOf(*each, loss_kind::kAtStart) == 0)
      return true;
    if (HasOutlivedStart(ctx, *each)) {
      ctx.Log("unit_cleared", NameOf(id),
              {Field("losses", LossesOf(*each, loss_kind::kAtStart)),
               Field("attempt", each->attempt)});
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
