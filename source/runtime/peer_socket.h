// Messages between entries over ZeroMQ: one socket that takes all peers'
// messages, and one to each peer. Sending never waits: a message that can't go
// out is dropped, as the next heartbeat says the same and more.

#ifndef PARSLEYHITCH_RUNTIME_PEER_SOCKET_H_
#define PARSLEYHITCH_RUNTIME_PEER_SOCKET_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "model/identifier.h"
#include "settings/settings.h"

namespace parsleyhitch::runtime {

namespace detail {
struct peer_sockets;
}

class peer_socket {
 public:
  // Listens at "ip:port" and connects to each peer. Throws std::exception when
  // it can't listen.
  peer_socket(asio::io_context& io,
              const std::string& listen,
              const std::vector<settings::peer_address>& peers,
              std::function<void(const std::string& bytes)> received);
  ~peer_socket();
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;

  // False when the message was dropped.
  bool Send(const model::entry_id& to, const std::string& bytes);

 private:
  std::shared_ptr<detail::peer_sockets> sockets_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_PEER_SOCKET_H_
