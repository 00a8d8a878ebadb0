// One visit over all events, then what time alone brings about.

#include "dispatch/reduce.h"

#include <algorithm>
#include <utility>

#include "dispatch/parts.h"

namespace parsleyhitch::dispatch {

namespace {

void On(const context& ctx, const work::entry_started& event) {
  state& s = ctx.state;
  s.incarnation = event.incarnation;
  s.random = event.seed;
  s.submissions.writer = "entry/" + ctx.env.me.value();
  s.submissions.epoch = event.incarnation;
  s.submissions.waiting.push_back(
      {.content = work::member_joined{.entry = ctx.env.me,
                                      .address = ctx.env.peer_address,
                                      .cpu_millis = ctx.env.cpu_millis,
                                      .incarnation = event.incarnation}});
  s.lead.heard_at = event.at;
  s.lead.leader_reached_store_at = event.at;
  ctx.Log("started", ctx.env.me.value(),
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
  OnStartAnswered(ctx, event);
}

void On(const context& ctx, const work::stop_answered& event) {
  OnStopAnswered(ctx, event);
}

void On(const context& ctx, const work::hold_answered& event) {
  OnHoldAnswered(ctx, event);
}

void On(const context& ctx, const work::peer_heard& event) {
  OnPeerHeard(ctx, event);
}

void On(const context& ctx, const work::catalog_relayed& event) {
  PutInForce(ctx, event.content, "peer");
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

// A gap between events means that the process stood still; others may have
// acted meanwhile.
void NoteTime(const context& ctx, timestamp at) {
  state& s = ctx.state;
  const bool first = s.now == timestamp();
  if (!first && at - s.now > ctx.limits().stall) {
    s.lead.doubted_at = at;
    ctx.Warn("stalled", ctx.env.me.value(), {Field("gap", at - s.now)});
  }
  s.now = std::max(s.now, at);
}

void Tick(const context& ctx) {
  state& s = ctx.state;
  if (s.now < s.next_tick_at)
    return;
  s.next_tick_at = s.now + ctx.limits().tick;
  AdvanceCalls(ctx);
  AdvanceLeadership(ctx);
  if (s.lead.mine == role::kLeader) {
    OpenDueSteps(ctx);
    AdvanceWorkers(ctx);
    AdvanceOrders(ctx);
    // What may be done for a waiting unit changes as it waits.
    s.mine.plan_due = true;
  }
  AdvanceShutdown(ctx);
}

void SetWake(const context& ctx) {
  state& s = ctx.state;
  timestamp next = s.next_tick_at;
  const bool plans = s.lead.mine == role::kLeader && s.mine.plan_due;
  if (plans)
    next = std::min(next, s.mine.next_plan_at);
  for (const outbox* each : {&s.submissions, &s.mine.progress}) {
    if (!each->in_flight && !(each->waiting.empty() && each->batch.empty()))
      next = std::min(next, each->next_at);
  }
  if (!s.mine.unsaved.empty() && !s.mine.progress.in_flight)
    next = std::min(next, s.mine.progress.next_at);
  for (const feed_state* each : {&s.records, &s.catalogs}) {
    if (!each->in_flight)
      next = std::min(next, each->next_at);
  }
  next = std::max(next, s.now + duration(1));
  const bool still_set = s.wake_set_for > s.now && s.wake_set_for <= next;
  if (still_set)
    return;
  s.wake_set_for = next;
  ctx.Emit(work::wake_at{.at = next});
}

}  // namespace

step Reduce(const environment& env, state before, const work::event& event) {
  step done{.state = std::move(before), .effects = {}};
  const context ctx{.env = env, .state = done.state, .out = done.effects};
  NoteTime(ctx, std::visit([](const auto& each) { return each.at; }, event));
  std::visit([&](const auto& each) { On(ctx, each); }, event);
  Tick(ctx);
  PlanIfDue(ctx);
  FlushOutboxes(ctx);
  PollFeeds(ctx);
  SetWake(ctx);
  return done;
}

bool IsReady(const state& state) {
  return state.in_force.Get() != nullptr && state.records.whole &&
         !state.shutdown.asked;
}

}  // namespace parsleyhitch::dispatch
