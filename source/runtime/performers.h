// Performs the effects that reach out of the process: the platform's log and VM
// list, peers, workers, endpoints. What comes of each goes back as an event.

#ifndef PARSLEYHITCH_RUNTIME_PERFORMERS_H_
#define PARSLEYHITCH_RUNTIME_PERFORMERS_H_

#include <functional>

#include "model/effect.h"
#include "model/event.h"
#include "runtime/http_client.h"
#include "runtime/peer_socket.h"
#include "settings/settings.h"

namespace parsleyhitch::runtime {

// What performers work with. All outlive them.
struct performer_tools {
  const settings::settings& settings;
  http_client& client;
  peer_socket& peers;
  // The time for events.
  std::function<model::timestamp()> clock;
  std::function<void(model::event)> post;
  // Names this incarnation of the entry in calls to endpoints.
  const std::uint64_t incarnation = 0;
};

void Perform(const performer_tools& tools, const model::append_batch& effect);
void Perform(const performer_tools& tools, const model::read_log& effect);
void Perform(const performer_tools& tools, const model::read_vm_list& effect);
void Perform(const performer_tools& tools, const model::send_to_peer& effect);
void Perform(const performer_tools& tools, const model::call_worker& effect);
void Perform(const performer_tools& tools, const model::call_endpoint& effect);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_PERFORMERS_H_
