// ZeroMQ's file descriptor is edge-triggered: after each wake the socket is
// read until it is empty (zmq_getsockopt(3), ZMQ_FD).

#include "runtime/peer_socket.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <map>
#include <utility>
#include <zmq.hpp>

namespace parsleyhitch::runtime {

namespace detail {

struct peer_sockets {
  explicit peer_sockets(asio::io_context& io)
      : incoming(context, zmq::socket_type::pull), readable(io) {}

  zmq::context_t context{1};
  zmq::socket_t incoming;
  // By address.
  std::map<std::string, zmq::socket_t> outgoing;
  asio::posix::stream_descriptor readable;
  std::function<void(const std::string&)> received;
};

namespace {

constexpr int kQueuedMessages = 64;
// A connection that has gone silent without a reset is closed and made anew
// (zmq_setsockopt(3), ZMQ_HEARTBEAT_*).
constexpr int kPingIntervalMs = 500;
constexpr int kPingTimeoutMs = 1500;
constexpr int kConnectTimeoutMs = 1000;
constexpr int kReconnectMs = 100;
constexpr int kReconnectMaxMs = 500;

void DetectSilence(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::heartbeat_ivl, kPingIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kPingTimeoutMs);
}

void Drain(peer_sockets& sockets) {
  zmq::message_t message;
  while (sockets.incoming.recv(message, zmq::recv_flags::dontwait))
    sockets.received(message.to_string());
}

void WaitForMessages(const std::shared_ptr<peer_sockets>& sockets) {
  sockets->readable.async_wait(asio::posix::stream_descriptor::wait_read,
                               [sockets](const asio::error_code& error) {
                                 if (error)
                                   return;
                                 Drain(*sockets);
                                 WaitForMessages(sockets);
                               });
}

}  // namespace

}  // namespace detail

peer_socket::peer_socket(asio::io_context& io,
                         const std::string& listen,
                         std::function<void(const std::string& bytes)> received)
    : sockets_(std::make_shared<detail::peer_sockets>(io)) {
  sockets_->received = std::move(received);
  detail::DetectSilence(sockets_->incoming);
  sockets_->incoming.bind("tcp://" + listen);
  sockets_->readable.assign(sockets_->incoming.get(zmq::sockopt::fd));
  detail::WaitForMessages(sockets_);
  // Messages that came before the watch began raise no edge.
  asio::post(io, [sockets = sockets_] { detail::Drain(*sockets); });
}

peer_socket::~peer_socket() {
  sockets_->readable.release();
}

void peer_socket::Connect(const std::string& address) {
  if (sockets_->outgoing.contains(address))
    return;
  zmq::socket_t socket(sockets_->context, zmq::socket_type::push);
  detail::DetectSilence(socket);
  socket.set(zmq::sockopt::sndhwm, detail::kQueuedMessages);
  socket.set(zmq::sockopt::connect_timeout, detail::kConnectTimeoutMs);
  socket.set(zmq::sockopt::reconnect_ivl, detail::kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, detail::kReconnectMaxMs);
  // Nothing is queued for a peer that is not connected.
  socket.set(zmq::sockopt::immediate, true);
  socket.connect("tcp://" + address);
  sockets_->outgoing.emplace(address, std::move(socket));
}

bool peer_socket::Send(const std::string& address, const std::string& bytes) {
  Connect(address);
  const auto sent = sockets_->outgoing.at(address).send(
      zmq::buffer(bytes), zmq::send_flags::dontwait);
  return sent.has_value();
}

}  // namespace parsleyhitch::runtime
