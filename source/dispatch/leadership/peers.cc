// Dispatches messages from other entries to the parts that handle them.

#include <utility>

#include "dispatch/callers/callers.h"
#include "dispatch/leadership/leadership.h"
#include "dispatch/orders/orders.h"

namespace parsleyhitch::dispatch {

namespace {

void On(const context& ctx,
        const work::entry_id& from,
        const work::leader_heartbeat& message) {
  OnHeartbeat(ctx, from, message);
}

void On(const context& ctx,
        const work::entry_id& from,
        const work::heartbeat_reply& message) {
  OnHeartbeatReply(ctx, from, message);
}

void On(const context& ctx,
        const work::entry_id&,
        const work::catalog_wanted& message) {
  const work::published_catalog* current = ctx.state.in_force.Get();
  if (current == nullptr || current->content.version <= message.held_version)
    return;
  SendToPeer(ctx, message.address,
             work::catalog_offered{.version = current->content.version,
                                   .content = current->encoded});
}

// The runtime decodes the content and raises catalog_relayed.
void On(const context&, const work::entry_id&, const work::catalog_offered&) {}

void On(const context& ctx,
        const work::entry_id&,
        const work::call_relayed& message) {
  OnCallRelayed(ctx, message);
}

void On(const context& ctx,
        const work::entry_id&,
        const work::call_settled& message) {
  OnCallSettled(ctx, message);
}

void On(const context& ctx,
        const work::entry_id&,
        const work::orders_forwarded& message) {
  OnOrdersForwarded(ctx, message);
}

void On(const context& ctx,
        const work::entry_id&,
        const work::answers_returned& message) {
  OnAnswersReturned(ctx, message);
}

}  // namespace

void OnPeerHeard(const context& ctx, const work::peer_heard& event) {
  std::visit([&](const auto& each) { On(ctx, event.message.from, each); },
             event.message.content);
}

void SendToPeer(const context& ctx,
                const std::string& address,
                work::peer_content content) {
  ctx.Emit(work::send_to_peer{
      .address = address,
      .message = {.from = ctx.env.self, .content = std::move(content)}});
}

}  // namespace parsleyhitch::dispatch
