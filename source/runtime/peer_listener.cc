// Messages are handed over in an inbox, which the owner empties in turns with
// its other work. While it holds more than its share, nothing is read, and
// senders wait.

#include "runtime/peer_listener.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "runtime/client_gate.h"
#include "runtime/message_reader.h"
#include "runtime/monotonic_clock.h"

namespace parsleyhitch::runtime {

namespace detail {

namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds kAcceptRetry{100};
constexpr std::size_t kScratchBytes = 16384;
// Messages that the owner handles before it turns to its other work.
constexpr int kMessagesPerTurn = 256;

// Messages that the owner has not handled yet. Shared by both threads.
class message_inbox {
 public:
  struct addition {
    // The inbox was empty, so that the owner has to be told.
    bool first = false;
    bool full = false;
  };

  explicit message_inbox(std::uint64_t most_bytes) : most_bytes_(most_bytes) {}

  addition Add(std::string message) {
    const std::lock_guard lock(mutex_);
    const bool first = messages_.empty();
    bytes_ += CostOf(message);
    full_ = full_ || bytes_ > most_bytes_;
    messages_.push_back(std::move(message));
    return {.first = first, .full = full_};
  }

  std::optional<std::string> Take() {
    const std::lock_guard lock(mutex_);
    if (messages_.empty())
      return std::nullopt;
    std::string message = std::move(messages_.front());
    messages_.pop_front();
    bytes_ -= CostOf(message);
    return message;
  }

  // Returns whether the inbox has been full since the last call.
  bool TakeFull() {
    const std::lock_guard lock(mutex_);
    return std::exchange(full_, false);
  }

 private:
  // A message without bytes costs memory, too.
  static std::uint64_t CostOf(const std::string& message) {
    return sizeof(std::string) + message.capacity();
  }

  const std::uint64_t most_bytes_;
  std::mutex mutex_;
  std::deque<std::string> messages_;
  std::uint64_t bytes_ = 0;
  bool full_ = false;
};

// What the owner's event loop uses. It may outlive the listener.
struct owner_side {
  owner_side(asio::io_context& owner,
             std::uint64_t inbox_bytes,
             peer_listener_hooks behaviour)
      : io(owner), inbox(inbox_bytes), hooks(std::move(behaviour)) {}

  asio::io_context& io;
  message_inbox inbox;
  // Used on the owner's event loop only.
  peer_listener_hooks hooks;
  bool stopped = false;
};

struct peer_connection {
  explicit peer_connection(tcp::socket accepted)
      : socket(std::move(accepted)) {}

  tcp::socket socket;
  intake::connection_id id;
  std::unique_ptr<message_reader> reader;
  bool waiting = false;
  bool closed = false;
};

using connection_pointer = std::shared_ptr<peer_connection>;

}  // namespace

struct peer_listener_state {
  peer_listener_state(asio::io_context& owner,
                      const peer_limits& limits,
                      peer_listener_hooks hooks)
      : owner_part(std::make_shared<owner_side>(owner,
                                                limits.inbox_bytes,
                                                std::move(hooks))),
        acceptor(io),
        retry_timer(io) {}

  const std::shared_ptr<owner_side> owner_part;
  asio::io_context io{1};
  tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  std::shared_ptr<client_gate> gate;
  std::uint32_t server = 0;
  std::uint64_t last_connection = 0;
  std::map<std::uint64_t, connection_pointer> connections;
  // Nothing is read until the owner has emptied the inbox.
  bool paused = false;
  std::array<char, kScratchBytes> scratch{};
  std::thread thread;
};

namespace {

void ReadWhenReadable(peer_listener_state& state,
                      const connection_pointer& peer);

void Close(peer_listener_state& state, peer_connection& peer) {
  if (std::exchange(peer.closed, true))
    return;
  asio::error_code ignored;
  peer.socket.close(ignored);
  state.gate->Post(intake::connection_closed{.at = state.gate->Now(),
                                             .connection = peer.id});
  state.connections.erase(peer.id.number);
}

void Resume(peer_listener_state& state) {
  if (!std::exchange(state.paused, false))
    return;
  for (const auto& [number, peer] : state.connections)
    ReadWhenReadable(state, peer);
}

// Has the owner's event loop handle what is in the inbox.
void EmptyInbox(peer_listener_state& state) {
  asio::post(state.owner_part->io, [&state, owner = state.owner_part] {
    for (int i = 0; i < kMessagesPerTurn && !owner->stopped; ++i) {
      const std::optional<std::string> message = owner->inbox.Take();
      if (!message) {
        if (owner->inbox.TakeFull())
          asio::post(state.io, [&state] { Resume(state); });
        return;
      }
      owner->hooks.message(*message);
    }
    if (!owner->stopped)
      EmptyInbox(state);
  });
}

void HandOver(peer_listener_state& state, std::string message) {
  const message_inbox::addition added =
      state.owner_part->inbox.Add(std::move(message));
  state.paused = state.paused || added.full;
  if (added.first)
    EmptyInbox(state);
}

void ReportRead(peer_listener_state& state,
                const peer_connection& peer,
                const intake::read_progress& progress) {
  state.gate->Post(intake::request_read{
      .at = state.gate->Now(), .connection = peer.id, .progress = progress});
}

// A peer that does not take these few bytes does not read.
void Send(peer_listener_state& state,
          const connection_pointer& peer,
          std::string_view bytes) {
  asio::error_code error;
  const std::size_t sent = peer->socket.write_some(asio::buffer(bytes), error);
  if (sent != bytes.size())
    asio::post(state.io, [&state, peer] { Close(state, *peer); });
}

message_reader_hooks ReaderHooks(peer_listener_state& state,
                                 const connection_pointer& peer) {
  const std::weak_ptr<peer_connection> weak = peer;
  return {
      .begin =
          [&state, weak](const intake::read_progress& progress) {
            const auto peer = weak.lock();
            ReportRead(state, *peer, progress);
            return !peer->closed;
          },
      .message =
          [&state](std::string message) {
            HandOver(state, std::move(message));
          },
      .send = [&state, weak](
                  std::string_view bytes) { Send(state, weak.lock(), bytes); }};
}

void OnReadable(peer_listener_state& state, const connection_pointer& peer) {
  asio::error_code error;
  const std::size_t bytes =
      peer->socket.read_some(asio::buffer(state.scratch), error);
  if (error && error != asio::error::would_block) {
    Close(state, *peer);
    return;
  }
  if (!error)
    ReportRead(state, *peer, peer->reader->Read({state.scratch.data(), bytes}));
  ReadWhenReadable(state, peer);
}

void ReadWhenReadable(peer_listener_state& state,
                      const connection_pointer& peer) {
  if (state.paused || peer->closed || std::exchange(peer->waiting, true))
    return;
  peer->socket.async_wait(tcp::socket::wait_read,
                          [&state, peer](const asio::error_code& error) {
                            peer->waiting = false;
                            if (!error && !state.paused && !peer->closed)
                              OnReadable(state, peer);
                          });
}

void OnAccepted(peer_listener_state& state, tcp::socket socket) {
  asio::error_code error;
  const tcp::endpoint remote = socket.remote_endpoint(error);
  socket.non_blocking(true, error);
  const auto peer = std::make_shared<peer_connection>(std::move(socket));
  peer->id = {.server = state.server, .number = ++state.last_connection};
  peer->reader = std::make_unique<message_reader>(ReaderHooks(state, peer));
  state.connections.emplace(peer->id.number, peer);
  const auto close = [&state, weak = std::weak_ptr<peer_connection>(peer)] {
    if (const auto peer = weak.lock())
      Close(state, *peer);
  };
  state.gate->Open(peer->id, intake::listener::kPeers,
                   remote.address().to_string(),
                   {.refuse =
                        [&state, close](const intake::refuse_request&) {
                          asio::post(state.io, close);
                        },
                    .close = close});
  if (peer->closed)
    return;
  peer->reader->Open();
  ReadWhenReadable(state, peer);
}

void Accept(peer_listener_state& state) {
  state.acceptor.async_accept(
      [&state](const asio::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
          return;
        if (!error) {
          OnAccepted(state, std::move(socket));
          Accept(state);
          return;
        }
        // No descriptor is free.
        state.retry_timer.expires_after(kAcceptRetry);
        state.retry_timer.async_wait([&state](const asio::error_code& error) {
          if (!error)
            Accept(state);
        });
      });
}

void Listen(peer_listener_state& state,
            const std::string& address,
            const peer_limits& limits) {
  const std::size_t colon = address.rfind(':');
  const tcp::endpoint endpoint(
      asio::ip::make_address(address.substr(0, colon)),
      static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
  state.acceptor.open(endpoint.protocol());
  state.acceptor.set_option(asio::socket_base::reuse_address(true));
  state.acceptor.set_option(asio::socket_base::receive_buffer_size(
      static_cast<int>(limits.sockets.receive_buffer_bytes)));
  state.acceptor.bind(endpoint);
  state.acceptor.listen(static_cast<int>(limits.sockets.backlog));
}

// Counters of peers are told from those of clients by their prefix.
gate_hooks GateHooks(peer_listener_state& state, const peer_limits& limits) {
  const auto owner = state.owner_part;
  return {.limits = [limits = limits.connections] { return limits; },
          .clock = [clock = monotonic_clock()] { return clock.Now(); },
          .count =
              [owner](const work::count_metric& each) {
                asio::post(owner->io, [owner, each] {
                  if (!owner->stopped)
                    owner->hooks.count({.name = "peer_" + each.name,
                                        .increment = each.increment});
                });
              },
          .log =
              [owner](const work::write_log& each) {
                asio::post(owner->io, [owner, each] {
                  if (!owner->stopped)
                    owner->hooks.log(each);
                });
              }};
}

}  // namespace

}  // namespace detail

peer_listener::peer_listener(asio::io_context& owner,
                             const std::string& address,
                             const peer_limits& limits,
                             peer_listener_hooks hooks)
    : state_(std::make_unique<detail::peer_listener_state>(owner,
                                                           limits,
                                                           std::move(hooks))) {
  state_->gate = std::make_shared<client_gate>(
      state_->io, detail::GateHooks(*state_, limits));
  // Accepts are repeated here.
  state_->server = state_->gate->AddServer([] {});
  detail::Listen(*state_, address, limits);
  detail::Accept(*state_);
  state_->thread = std::thread([state = state_.get()] { state->io.run(); });
}

peer_listener::~peer_listener() {
  state_->owner_part->stopped = true;
  state_->io.stop();
  state_->thread.join();
  state_->gate->Stop();
}

}  // namespace parsleyhitch::runtime
