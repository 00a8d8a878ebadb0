// ZeroMQ's file descriptor is edge-triggered: on each readiness event the
// socket is read until it is empty (zmq_getsockopt(3), ZMQ_FD).

#include "runtime/peer_socket.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <cstdint>
#include <map>
#include <utility>
#include <zmq.hpp>

namespace parsleyhitch::runtime {

namespace detail {

struct peer_socket_state {
  explicit peer_socket_state(asio::io_context& io)
      : incoming(context, zmq::socket_type::pull), incoming_descriptor(io) {}

  zmq::context_t context{1};
  zmq::socket_t incoming;
  // Keyed by peer address.
  std::map<std::string, zmq::socket_t> outgoing;
  asio::posix::stream_descriptor incoming_descriptor;
  std::function<void(const std::string&)> on_message;
};

namespace {

constexpr int kSendQueueMessages = 64;
// Detects a connection lost without a reset, which is then closed and
// re-established (zmq_setsockopt(3), ZMQ_HEARTBEAT_*).
constexpr int kPingIntervalMs = 500;
constexpr int kPingTimeoutMs = 1500;
constexpr int kConnectTimeoutMs = 1000;
// What may be sent from anywhere to the listening socket: ZeroMQ allocates a
// message when its length arrives, and by default waits 30 s for a handshake.
// The largest messages carry a configuration or a record of up to 256 KB.
constexpr std::int64_t kMaxMessageBytes = 8388608;
constexpr int kHandshakeTimeoutMs = 5000;
constexpr int kReconnectMinMs = 100;
constexpr int kReconnectMaxMs = 500;

void EnableHeartbeat(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::heartbeat_ivl, kPingIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kPingTimeoutMs);
}

void ReceiveAll(peer_socket_state& state) {
  zmq::message_t message;
  while (state.incoming.recv(message, zmq::recv_flags::dontwait))
    state.on_message(message.to_string());
}

void WaitForMessages(const std::shared_ptr<peer_socket_state>& state) {
  state->incoming_descriptor.async_wait(
      asio::posix::stream_descriptor::wait_read,
      [state](const asio::error_code& error) {
        if (error)
          return;
        ReceiveAll(*state);
        WaitForMessages(state);
      });
}

}  // namespace

}  // namespace detail

peer_socket::peer_socket(
    asio::io_context& io,
    const std::string& listen,
    std::function<void(const std::string& bytes)> on_message)
    : state_(std::make_shared<detail::peer_socket_state>(io)) {
  state_->on_message = std::move(on_message);
  detail::EnableHeartbeat(state_->incoming);
  state_->incoming.set(zmq::sockopt::maxmsgsize, detail::kMaxMessageBytes);
  state_->incoming.set(zmq::sockopt::handshake_ivl,
                       detail::kHandshakeTimeoutMs);
  state_->incoming.bind("tcp://" + listen);
  state_->incoming_descriptor.assign(state_->incoming.get(zmq::sockopt::fd));
  detail::WaitForMessages(state_);
  // Messages received before the wait started trigger no readiness event.
  asio::post(io, [state = state_] { detail::ReceiveAll(*state); });
}

peer_socket::~peer_socket() {
  state_->incoming_descriptor.release();
}

void peer_socket::Connect(const std::string& address) {
  if (state_->outgoing.contains(address))
    return;
  zmq::socket_t socket(state_->context, zmq::socket_type::push);
  detail::EnableHeartbeat(socket);
  socket.set(zmq::sockopt::sndhwm, detail::kSendQueueMessages);
  socket.set(zmq::sockopt::connect_timeout, detail::kConnectTimeoutMs);
  socket.set(zmq::sockopt::reconnect_ivl, detail::kReconnectMinMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, detail::kReconnectMaxMs);
  // Queues messages only on established connections.
  socket.set(zmq::sockopt::immediate, true);
  socket.connect("tcp://" + address);
  state_->outgoing.emplace(address, std::move(socket));
}

bool peer_socket::Send(const std::string& address, const std::string& bytes) {
  Connect(address);
  const auto sent = state_->outgoing.at(address).send(
      zmq::buffer(bytes), zmq::send_flags::dontwait);
  return sent.has_value();
}

}  // namespace parsleyhitch::runtime
