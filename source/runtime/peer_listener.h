// Receives the messages of other entries on a thread of its own, so that peers
// get answers to their heartbeats while the process is busy. Connections pass
// the intake like those of clients.

#ifndef PARSLEYHITCH_RUNTIME_PEER_LISTENER_H_
#define PARSLEYHITCH_RUNTIME_PEER_LISTENER_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "runtime/client_limits.h"
#include "work/effect.h"

namespace parsleyhitch::runtime {

namespace detail {
struct peer_listener_state;
}

// All are called on the event loop of the owner.
struct peer_listener_hooks {
  std::function<void(const std::string& bytes)> message;
  std::function<void(const work::count_metric&)> count;
  std::function<void(const work::write_log&)> log;
};

class peer_listener {
 public:
  // Listens on "ip:port". Throws std::exception if the address can't be bound.
  peer_listener(asio::io_context& owner,
                const std::string& address,
                const peer_limits& limits,
                peer_listener_hooks hooks);
  ~peer_listener();
  peer_listener(const peer_listener&) = delete;
  peer_listener& operator=(const peer_listener&) = delete;

 private:
  std::unique_ptr<detail::peer_listener_state> state_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_PEER_LISTENER_H_
