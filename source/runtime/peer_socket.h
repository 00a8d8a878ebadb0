// Messages between entries over ZeroMQ: one socket that takes all peers'
// messages, and one to each peer. Sending never waits: a message that can't go
// out is dropped, as the next heartbeat says the same and more.

#ifndef PARSLEYHITCH_RUNTIME_PEER_SOCKET_H_
#define PARSLEYHITCH_RUNTIME_PEER_SOCKET_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace parsleyhitch::runtime {

namespace detail {
struct peer_sockets;
}

class peer_socket {
 public:
  // Listens at "ip:port". Throws std::exception when it can't.
  peer_socket(asio::io_context& io,
              const std::string& listen,
              std::function<void(const std::string& bytes)> received);
  ~peer_socket();
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;

  // Starts connecting to the peer at "ip:port", unless that was done already.
  void Connect(const std::string& address);

  // False when the message was dropped: the peer is not connected, or its
  // queue is full.
  bool Send(const std::string& address, const std::string& bytes);

 private:
  std::shared_ptr<detail::peer_sockets> sockets_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_PEER_SOCKET_H_
