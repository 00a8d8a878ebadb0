// Performs the effects that leave the process: calls to the platform's log and
// VM list, to workers and endpoints, and messages to peers. The outcome of each
// call is posted as an event.

#ifndef PARSLEYHITCH_RUNTIME_PERFORMERS_H_
#define PARSLEYHITCH_RUNTIME_PERFORMERS_H_

#include <functional>

#include "model/effect.h"
#include "model/event.h"
#include "runtime/http_client.h"
#include "runtime/peer_socket.h"
#include "settings/settings.h"

namespace parsleyhitch::runtime {

// Dependencies of `Perform`. The context and everything it refers to must
// outlive the calls in flight.
struct effect_context {
  const settings::settings& settings;
  http_client& client;
  peer_socket& peers;
  // Returns the time at which events are stamped.
  std::function<model::timestamp()> clock;
  std::function<void(model::event)> post;
  // Identifies this incarnation of the entry in calls to endpoints.
  const std::uint64_t incarnation = 0;
};

void Perform(const effect_context& context, const model::append_batch& effect);
void Perform(const effect_context& context, const model::read_log& effect);
void Perform(const effect_context& context, const model::read_vm_list& effect);
void Perform(const effect_context& context, const model::send_to_peer& effect);
void Perform(const effect_context& context, const model::call_worker& effect);
void Perform(const effect_context& context, const model::call_endpoint& effect);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_PERFORMERS_H_
