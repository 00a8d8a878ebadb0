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
  std::map<model::entry_id, zmq::socket_t> outgoing;
  asio::posix::stream_descriptor readable;
  std::function<void(const std::string&)> received;
};

namespace {

constexpr int kQueuedMessages = 64;

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
                         const std::vector<settings::peer_address>& peers,
                         std::function<void(const std::string& bytes)> received)
    : sockets_(std::make_shared<detail::peer_sockets>(io)) {
  sockets_->received = std::move(received);
  sockets_->incoming.set(zmq::sockopt::linger, 0);
  sockets_->incoming.bind("tcp://" + listen);
  for (const settings::peer_address& peer : peers) {
    zmq::socket_t socket(sockets_->context, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, detail::kQueuedMessages);
    // Nothing is queued for a peer that is not connected.
    socket.set(zmq::sockopt::immediate, true);
    socket.connect("tcp://" + peer.address);
    sockets_->outgoing.emplace(peer.entry, std::move(socket));
  }
  sockets_->readable.assign(sockets_->incoming.get(zmq::sockopt::fd));
  detail::WaitForMessages(sockets_);
  // Messages that came before the watch began raise no edge.
  asio::post(io, [sockets = sockets_] { detail::Drain(*sockets); });
}

peer_socket::~peer_socket() {
  sockets_->readable.release();
}

bool peer_socket::Send(const model::entry_id& to, const std::string& bytes) {
  const auto found = sockets_->outgoing.find(to);
  if (found == sockets_->outgoing.end())
    return false;
  const auto sent =
      found->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  return sent.has_value();
}

}  // namespace parsleyhitch::runtime
