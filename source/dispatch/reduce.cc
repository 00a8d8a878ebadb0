// Dispatches each event to the part that handles it, then performs the work
// that depends on time alone.

#include "dispatch/reduce.h"

#include <algorithm>
#include <utility>

#include "dispatch/callers/callers.h"
#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/interference.h"
#include "dispatch/fleet/speeds.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/leadership/leadership.h"
#include "dispatch/orders/orders.h"
#include "dispatch/planning/moves.h"
#include "dispatch/planning/planning.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

void On(const context& ctx, const work::entry_started& event) {
  state& s = ctx.state;
  s.incarnation = event.incarnation;
  s.random_state = event.seed;
  s.submissions.writer = "entry/" + ctx.env.self.value();
  s.submissions.epoch = event.incarnation;
  EnqueueRecord(ctx,
                work::member_joined{.entry = ctx.env.self,
                                    .address = ctx.env.peer_address,
                                    .cpu_millis = ctx.env.cpu_millis,
                                    .incarnation = event.incarnation},
                {});
  s.leadership.leader_heard_at = event.at;
  s.leadership.leader_reached_store_at = event.at;
  ctx.Log("started", ctx.env.self.value(),
          {Field("incarnation", event.incarnation)});
}

void On(const context&, const work::wake_due&) {}

void On(const context& ctx, const work::feed_read& event) {
  OnFeedRead(ctx, event);
}

void On(const context& ctx, const work::newest_read& event) {
  OnNewestRead(ctx, event);
}

void On(const context& ctx, const work::feed_unread& event) {
  OnFeedUnread(ctx, event);
}

void On(const context& ctx, const work::append_answered& event) {
  OnAppendAnswered(ctx, event);
}

void On(const context& ctx, const work::start_answered& event) {
  if (!ReturnAnswer(ctx, event))
    OnStartAnswered(ctx, event);
}

void On(const context& ctx, const work::stop_answered& event) {
  if (!ReturnAnswer(ctx, event))
    OnStopAnswered(ctx, event);
}

void On(const context& ctx, const work::hold_answered& event) {
  if (!ReturnAnswer(ctx, event))
    OnHoldAnswered(ctx, event);
}

void On(const context& ctx, const work::peer_heard& event) {
  OnPeerHeard(ctx, event);
}

void On(const context& ctx, const work::catalog_relayed& event) {
  ActivateCatalog(ctx, event.content, "peer");
}

void On(const context& ctx, const work::client_called& event) {
  OnClientCalled(ctx, event);
}

void On(const context& ctx, const work::client_gone& event) {
  OnClientGone(ctx, event);
}

void On(const context& ctx, const work::shutdown_requested& event) {
  OnShutdownRequested(ctx, event);
}

// A long gap between events means that the process stalled. Another leader may
// have been elected meanwhile.
void AdvanceClock(const context& ctx, timestamp at) {
  state& s = ctx.state;
  const bool first = s.now == timestamp();
  if (!first && at - s.now > ctx.limits().stall) {
    s.leadership.last_stall_at = at;
    ctx.Warn("stalled", ctx.env.self.value(), {Field("gap", at - s.now)});
  }
  s.now = std::max(s.now, at);
}

void Tick(const context& ctx) {
  state& s = ctx.state;
  if (s.now < s.next_tick_at)
    return;
  ReportLoadIfDue(ctx);
  s.next_tick_at = s.now + ctx.limits().tick;
  AdvanceCalls(ctx);
  AdvanceLeadership(ctx);
  if (s.leadership.current_role == role::kLeader) {
    AdvanceProxies(ctx);
    OpenDueSteps(ctx);
    AdvanceWorkers(ctx);
    AdvanceOrders(ctx);
    AdvanceSpeeds(ctx);
    MoveFromSlowWorkers(ctx);
    MeasureWaitsIfDue(ctx);
    AdvanceInterference(ctx);
    // The longer a unit waits, the more placements it accepts.
    s.leader.plan_due = true;
  }
  AdvanceShutdown(ctx);
}

void SetWake(const context& ctx) {
  state& s = ctx.state;
  timestamp next = s.next_tick_at;
  const bool plans =
      s.leadership.current_role == role::kLeader && s.leader.plan_due;
  if (plans)
    next = std::min(next, s.leader.next_plan_at);
  const auto wake_for = [&](const outbox& box, bool has_changes) {
    const bool idle = box.waiting.empty() && box.batch.empty() && !has_changes;
    if (!box.in_flight && !idle)
      next = std::min(next, box.next_at);
  };
  wake_for(s.submissions, false);
  wake_for(s.leader.job_phases, !s.leader.changed_jobs.empty());
  wake_for(s.leader.unit_progress, !s.leader.changed_units.empty() ||
                                       !s.leader.changed_workers.empty());
  for (const feed_state* each : {&s.records, &s.catalogs}) {
    if (!each->in_flight)
      next = std::min(next, each->next_at);
  }
  next = std::min(next, NextForwardAt(ctx).value_or(next));
  next = std::max(next, s.now + duration(1));
  const bool still_set =
      s.wake_scheduled_at > s.now && s.wake_scheduled_at <= next;
  if (still_set)
    return;
  s.wake_scheduled_at = next;
  ctx.Emit(work::wake_at{.at = next});
}

}  // namespace

step Reduce(const environment& env, state before, const work::event& event) {
  step done{.state = std::move(before), .effects = {}};
  const context ctx{.env = env, .state = done.state, .effects = done.effects};
  AdvanceClock(ctx,
               std::visit([](const auto& each) { return each.at; }, event));
  std::visit([&](const auto& each) { On(ctx, each); }, event);
  Tick(ctx);
  PlanIfDue(ctx);
  FlushOutboxes(ctx);
  FlushForwarded(ctx);
  TrackUnsavedProgress(ctx);
  PollFeeds(ctx);
  SetWake(ctx);
  return done;
}

bool IsReady(const state& state) {
  return state.in_force.Get() != nullptr && state.records.snapshot_complete &&
         !state.shutdown.requested;
}

}  // namespace parsleyhitch::dispatch
