// Graceful shutdown: the entry leaves rotation, asks the others to elect a
// leader if it leads, answers what is open and stops before its grace ends.

#include <algorithm>

#include "dispatch/parts.h"

namespace parsleyhitch::dispatch {

namespace {

// Kept back from the grace for the last answers to leave.
constexpr duration kMargin{700};

}  // namespace

void OnShutdownRequested(const context& ctx,
                         const work::shutdown_requested& event) {
  shutdown_state& shutdown = ctx.state.shutdown;
  if (shutdown.asked)
    return;
  shutdown.asked = true;
  shutdown.stop_at =
      ctx.now() + std::max(event.grace - kMargin, event.grace / 2);
  ctx.state.lead.next_heartbeat_at = ctx.now();
  ctx.Log("shutdown_asked", ctx.env.me.value(), {Field("grace", event.grace)});
}

void AdvanceShutdown(const context& ctx) {
  const shutdown_state& shutdown = ctx.state.shutdown;
  if (!shutdown.asked || ctx.now() < shutdown.stop_at)
    return;
  ctx.Log("stopped", ctx.env.me.value(),
          {Field("open_calls", ctx.state.calls.size())});
  ctx.Emit(work::stop_process{});
}

}  // namespace parsleyhitch::dispatch
