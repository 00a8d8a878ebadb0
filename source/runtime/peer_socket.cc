// The listener of peer_listener.h and one ZeroMQ socket for each peer.

#include "runtime/peer_socket.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <zmq.hpp>

#include "wire/address.h"

namespace parsleyhitch::runtime {

namespace detail {

struct peer_socket_state {
  peer_socket_state(asio::io_context& io,
                    const std::string& listen,
                    const peer_limits& limits,
                    peer_listener_hooks hooks)
      : incoming(io, listen, limits, std::move(hooks)) {}

  peer_listener incoming;
  zmq::context_t context{1};
  // Keyed by peer address.
  std::map<std::string, zmq::socket_t> outgoing;
};

namespace {

constexpr int kSendQueueMessages = 64;
// Detects a connection lost without a reset, which is then closed and
// re-established (zmq_setsockopt(3), ZMQ_HEARTBEAT_*).
constexpr int kPingIntervalMs = 500;
constexpr int kPingTimeoutMs = 1500;
constexpr int kConnectTimeoutMs = 1000;
constexpr int kReconnectMinMs = 100;
constexpr int kReconnectMaxMs = 500;

void EnableHeartbeat(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::heartbeat_ivl, kPingIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kPingTimeoutMs);
}

// Addresses may come from messages that anyone has sent.
std::optional<zmq::socket_t> OpenSocket(zmq::context_t& context,
                                        const std::string& address) {
  if (!wire::IsIpAndPort(address))
    return std::nullopt;
  try {
    zmq::socket_t socket(context, zmq::socket_type::push);
    EnableHeartbeat(socket);
    socket.set(zmq::sockopt::sndhwm, kSendQueueMessages);
    socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMinMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
    // Queues messages only on established connections.
    socket.set(zmq::sockopt::immediate, true);
    socket.connect("tcp://" + address);
    return socket;
  } catch (const zmq::error_t&) {
    // ZeroMQ does not take the address, or has no socket left.
    return std::nullopt;
  }
}

}  // namespace

}  // namespace detail

peer_socket::peer_socket(asio::io_context& io,
                         const std::string& listen,
                         const peer_limits& limits,
                         peer_listener_hooks hooks)
    : state_(std::make_unique<detail::peer_socket_state>(io,
                                                         listen,
                                                         limits,
                                                         std::move(hooks))) {}

peer_socket::~peer_socket() = default;

bool peer_socket::Connect(const std::string& address) {
  if (state_->outgoing.contains(address))
    return true;
  std::optional<zmq::socket_t> socket =
      detail::OpenSocket(state_->context, address);
  if (!socket)
    return false;
  state_->outgoing.emplace(address, std::move(*socket));
  return true;
}

bool peer_socket::Send(const std::string& address, const std::string& bytes) {
  if (!Connect(address))
    return false;
  const auto sent = state_->outgoing.at(address).send(
      zmq::buffer(bytes), zmq::send_flags::dontwait);
  return sent.has_value();
}

}  // namespace parsleyhitch::runtime
