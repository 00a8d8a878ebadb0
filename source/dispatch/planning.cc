// One pass over the waiting units: each is placed, gets others stopped for it,
// or is left waiting.

#include <string>
#include <utility>

#include "dispatch/demands.h"
#include "dispatch/names.h"
#include "dispatch/parts.h"
#include "placement/room.h"

namespace parsleyhitch::dispatch {

namespace {

void TakeAll(placement::board& board,
             const std::vector<work::worker_id>& workers,
             const work::resources& need) {
  for (const work::worker_id& worker : workers)
    board.Take(worker, need);
}

// Stops victims for the unit and keeps their room from units behind it.
void Preempt(const context& ctx,
             const job_ranks& ranked,
             const waiting_unit& waiting,
             const placement::demand& asked,
             placement::board& board) {
  const auto chosen = placement::FindVictims(
      board, asked, VictimsFor(ctx, ranked, waiting.importance));
  if (!chosen)
    return;
  for (const work::unit_id& victim : chosen->stopped) {
    ctx.Log("unit_preempted", NameOf(victim),
            {Field("for", waiting.unit.job.value()),
             Field("waited", waiting.waited)});
    ctx.Count("units_preempted");
    StopUnit(ctx, victim, "preempted");
  }
  TakeAll(board, chosen->workers, asked.need);
}

void PlaceOrPreempt(const context& ctx,
                    const job_ranks& ranked,
                    const waiting_unit& waiting,
                    placement::board& board) {
  const placement::demand asked = DemandOf(ctx, waiting);
  const auto room = placement::FindRoom(board, asked, placement::FreeRoom);
  if (room) {
    TakeAll(board, *room, asked.need);
    PlaceUnit(ctx, waiting.unit, *room);
    return;
  }
  const bool urgent =
      ctx.env.behaviour.may_preempt(waiting.importance, rank::kBackground);
  if (urgent)
    Preempt(ctx, ranked, waiting, asked, board);
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
  mine.next_plan_at = ctx.now() + ctx.limits().plan_pause;
  const job_ranks ranked = RankJobs(ctx);
  const std::vector<waiting_unit> waiting = WaitingUnits(ctx, ranked);
  if (waiting.empty())
    return;
  placement::board board = FreeBoard(ctx);
  for (const waiting_unit& each : waiting)
    PlaceOrPreempt(ctx, ranked, each, board);
}

}  // namespace parsleyhitch::dispatch
