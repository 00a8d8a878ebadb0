// One pass over the waiting units: each is placed, gets others stopped for it,
// or is left waiting. What a pass has found impossible stays so until its end,
// as room only shrinks meanwhile.

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "dispatch/demands.h"
#include "dispatch/names.h"
#include "dispatch/parts.h"
#include "placement/room.h"

namespace parsleyhitch::dispatch {

namespace {

class planning_pass {
 public:
  planning_pass(const context& ctx, const job_ranks& ranked)
      : ctx_(ctx), ranked_(ranked), board_(FreeBoard(ctx)) {}

  void Consider(const waiting_unit& waiting) {
    const placement::demand asked = DemandOf(ctx_, waiting);
    if (!without_room_.contains(asked)) {
      const auto room = placement::FindPlacement(board_, asked);
      if (room) {
        TakeAll(*room, asked.need);
        PlaceUnit(ctx_, waiting.unit, *room);
        return;
      }
      without_room_.insert(asked);
    }
    const bool urgent =
        ctx_.env.behaviour.may_preempt(waiting.importance, rank::kBackground);
    if (urgent)
      Preempt(waiting, asked);
  }

 private:
  void TakeAll(const std::vector<work::worker_id>& workers,
               const work::resources& need) {
    for (const work::worker_id& worker : workers)
      board_.Take(worker, need);
  }

  placement::victim_set& VictimsOf(rank importance) {
    if (!victims_ || victims_for_ != importance) {
      victims_.emplace(board_, VictimsFor(ctx_, ranked_, importance));
      victims_for_ = importance;
    }
    return *victims_;
  }

  // Stops victims for the unit and keeps their room from units behind it.
  void Preempt(const waiting_unit& waiting, const placement::demand& asked) {
    const std::pair<rank, placement::demand> key(waiting.importance, asked);
    if (without_victims_.contains(key))
      return;
    placement::victim_set& victims = VictimsOf(waiting.importance);
    const auto chosen = placement::FindVictims(board_, asked, victims);
    if (!chosen) {
      without_victims_.insert(key);
      return;
    }
    for (const std::uint32_t index : chosen->stopped)
      Stop(victims, index, waiting);
    TakeAll(chosen->workers, asked.need);
  }

  void Stop(placement::victim_set& victims,
            std::uint32_t index,
            const waiting_unit& waiting) {
    const placement::victim& each = victims.Get(index);
    ctx_.Log("unit_preempted", NameOf(each.unit),
             {Field("for", waiting.unit.job.value()),
              Field("waited", waiting.waited)});
    ctx_.Count("units_preempted");
    NotePreempted(each.unit);
    StopUnit(ctx_, each.unit, "preempted");
    for (const work::worker_id& worker : each.workers)
      board_.AddLeaving(worker, each.need);
    victims.MarkStopped(index);
  }

  void NotePreempted(const work::unit_id& id) {
    unit stopped = *ctx_.state.mine.units.Find(id);
    stopped.preemptions += 1;
    ctx_.state.mine.units.Put(id, std::move(stopped));
  }

  const context& ctx_;
  const job_ranks& ranked_;
  placement::capacity_map board_;
  // Those of the rank that needed them last, as units come by rank.
  std::optional<placement::victim_set> victims_;
  rank victims_for_ = rank::kBackground;
  std::set<placement::demand> without_room_;
  std::set<std::pair<rank, placement::demand>> without_victims_;
};

// The longer the queue, the longer a pass takes and the rarer passes are.
duration PauseAfter(const work::limits& limits, std::size_t waiting) {
  const auto queued = static_cast<std::int64_t>(waiting);
  return std::min(
      limits.plan_pause + duration(queued / std::int64_t{limits.plan_rate}),
      limits.plan_pause_max);
}

}  // namespace

void PlanIfDue(const context& ctx) {
  leader_state& mine = ctx.state.mine;
  const bool due = ctx.state.lead.mine == role::kLeader && mine.plan_due &&
                   mine.settled && ctx.now() >= mine.next_plan_at &&
                   HasAuthority(ctx);
  if (!due)
    return;
  mine.plan_due = false;
  const job_ranks ranked = RankJobs(ctx);
  const std::vector<waiting_unit> waiting = WaitingUnits(ctx, ranked);
  mine.next_plan_at = ctx.now() + PauseAfter(ctx.limits(), waiting.size());
  if (waiting.empty())
    return;
  planning_pass pass(ctx, ranked);
  for (const waiting_unit& each : waiting)
    pass.Consider(each);
}

}  // namespace parsleyhitch::dispatch
