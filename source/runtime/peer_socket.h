// Messages between entries by the protocol of ZeroMQ: a listener receives from
// all peers, and a ZeroMQ socket for each sends. Sending never blocks: a
// message that can't be sent is dropped, because the next heartbeat carries the
// same state or newer.

#ifndef PARSLEYHITCH_RUNTIME_PEER_SOCKET_H_
#define PARSLEYHITCH_RUNTIME_PEER_SOCKET_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "runtime/peer_listener.h"

namespace parsleyhitch::runtime {

namespace detail {
struct peer_socket_state;
}

class peer_socket {
 public:
  // Listens on "ip:port". Throws std::exception if the address can't be bound.
  peer_socket(asio::io_context& io,
              const std::string& listen,
              const peer_limits& limits,
              peer_listener_hooks hooks);
  ~peer_socket();
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;

  // Starts connecting to the peer at "ip:port"; does nothing if called before
  // for this address. Returns false if that is no address, or if no socket can
  // be opened.
  bool Connect(const std::string& address);

  // Returns false if the message was dropped: the peer is not connected, has no
  // such address, or its send queue is full.
  bool Send(const std::string& address, const std::string& bytes);

 private:
  std::unique_ptr<detail::peer_socket_state> state_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_PEER_SOCKET_H_
