// Graceful shutdown: the entry reports itself as not ready, resigns if it leads
// so that the others elect a leader, answers open calls, and stops before the
// grace period ends.

#include <algorithm>

#include "dispatch/leadership/leadership.h"

namespace parsleyhitch::dispatch {

namespace {

// Part of the grace period reserved for sending the last answers.
constexpr duration kShutdownMargin{700};

}  // namespace

void OnShutdownRequested(const context& ctx,
                         const work::shutdown_requested& event) {
  shutdown_state& shutdown = ctx.state.shutdown;
  if (shutdown.requested)
    return;
  shutdown.requested = true;
  shutdown.stop_at =
      ctx.now() + std::max(event.grace - kShutdownMargin, event.grace / 2);
  ctx.state.leadership.next_heartbeat_at = ctx.now();
  ctx.Log("shutdown_started", ctx.env.self.value(),
          {Field("grace", event.grace)});
}

void AdvanceShutdown(const context& ctx) {
  const shutdown_state& shutdown = ctx.state.shutdown;
  if (!shutdown.requested || ctx.now() < shutdown.stop_at)
    return;
  ctx.Log("stopped", ctx.env.self.value(),
          {Field("open_calls", ctx.state.calls.size())});
  ctx.Emit(work::stop_process{});
}

}  // namespace parsleyhitch::dispatch
