// The only file that includes RESTinio, whose headers are slow to compile.
//
// RESTinio stores what arrives before it has a whole request, and bounds
// neither the number of fields and chunks nor the sum over its connections. Its
// sockets are therefore replaced: they read into a request_reader, report to
// the gate, and pass on whole requests only.

#include "runtime/http_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <cctype>
#include <chrono>
#include <cstring>
#include <limits>
#include <map>
#include <optional>
#include <restinio/all.hpp>
#include <system_error>
#include <utility>

#include "runtime/json_log.h"
#include "runtime/monotonic_clock.h"
#include "runtime/request_reader.h"

namespace parsleyhitch::runtime {

namespace detail {

namespace {

// A connection that RESTinio has just accepted, for the socket that it then
// reads from: RESTinio constructs sockets without a way to pass anything on.
struct accepted_connection {
  std::shared_ptr<client_gate> gate;
  intake::listener kind = intake::listener::kCallers;
  intake::connection_id id;
  std::string address;
};

// One for each event loop.
class accept_service : public asio::execution_context::service {
 public:
  using key_type = accept_service;
  static inline asio::execution_context::id id;

  explicit accept_service(asio::execution_context& owner)
      : asio::execution_context::service(owner) {}

  std::optional<accepted_connection> accepted;
  // Bytes are copied out of it before the event loop runs on.
  std::array<char, 16384> scratch{};

 private:
  void shutdown() override { accepted.reset(); }
};

// Reports opened connections to the socket that was accepted, and closed ones
// to the gate and to the owner of the server, so that abandoned calls are
// detected.
class connection_listener {
 public:
  struct hooks {
    std::function<void(std::uint64_t connection, const std::string& address)>
        opened;
    std::function<void(std::uint64_t connection)> closed;
  };

  explicit connection_listener(hooks behaviour)
      : hooks_(std::move(behaviour)) {}

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    if (std::holds_alternative<restinio::connection_state::accepted_t>(
            notice.cause())) {
      hooks_.opened(notice.connection_id(),
                    notice.remote_endpoint().address().to_string());
    }
    if (std::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause()))
      hooks_.closed(notice.connection_id());
  }

 private:
  const hooks hooks_;
};

std::string RefusalBytes(const intake::refuse_request& refusal) {
  const std::string body = "{\"error\":\"" + refusal.reason + "\"}";
  return "HTTP/1.1 " + std::to_string(refusal.status) +
         " Refused\r\nContent-Type: application/json\r\n"
         "Connection: close\r\nRetry-After: 1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A socket that RESTinio reads whole requests from.
class gated_socket : public asio::ip::tcp::socket {
 public:
  using read_handler =
      std::function<void(const asio::error_code&, std::size_t)>;

  explicit gated_socket(asio::io_context& io)
      : asio::ip::tcp::socket(io),
        service_(&asio::use_service<accept_service>(io)) {}
  gated_socket(gated_socket&&) = default;
  gated_socket& operator=(gated_socket&&) = default;
  ~gated_socket() {
    if (link_)
      ReportClosed();
  }

  // `done` owns the connection, and with it this socket.
  template <typename Handler>
  void async_read_some(const asio::mutable_buffer& buffer, Handler done) {
    Start({.buffer = buffer, .done = std::move(done)});
  }

 private:
  struct pending_read {
    asio::mutable_buffer buffer;
    read_handler done;
  };

  struct link {
    std::shared_ptr<client_gate> gate;
    intake::connection_id id;
    request_reader reader;
    // The request that is passed on, and how much of it was.
    std::string request;
    std::size_t passed_bytes = 0;
    bool passing = false;
    bool refused = false;
    bool closed = false;
  };

  void Start(const pending_read& read) {
    if (!link_ && service_->accepted) {
      Register(*std::exchange(service_->accepted, std::nullopt));
    } else if (!link_) {
      // The server was destroyed meanwhile.
      asio::post(get_executor(),
                 [read] { read.done(asio::error::connection_reset, 0); });
      return;
    } else if (link_->passing && link_->request.empty()) {
      // RESTinio reads on once it has written the reply.
      link_->passing = false;
      link_->gate->Post(intake::request_awaited{.at = link_->gate->Now(),
                                                .connection = link_->id});
      Receive({});
    }
    Continue(read);
  }

 public:
  // Reports what the client takes of a reply. `done` owns what `buffers` was
  // made from, and must not be moved before.
  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& done) {
    asio::ip::tcp::socket::async_write_some(
        buffers, [this, done = std::forward<Handler>(done)](
                     const asio::error_code& error, std::size_t bytes) mutable {
          if (link_ && !error)
            link_->gate->Post(intake::reply_progressed{
                .at = link_->gate->Now(), .connection = link_->id});
          done(error, bytes);
        });
  }

 private:
  void Register(accepted_connection accepted) {
    link_ = std::make_unique<link>();
    link_->gate = std::move(accepted.gate);
    link_->id = accepted.id;
    asio::error_code ignored;
    non_blocking(true, ignored);
    link_->gate->Open(
        link_->id, accepted.kind, accepted.address,
        {.refuse =
             [this](const intake::refuse_request& refusal) { Refuse(refusal); },
         .close = [this] { CloseNow(); }});
  }

  void Continue(const pending_read& read) {
    if (link_->closed) {
      asio::post(get_executor(),
                 [read] { read.done(asio::error::connection_reset, 0); });
      return;
    }
    if (!link_->request.empty()) {
      PassOn(read);
      return;
    }
    async_wait(wait_read, [this, read](const asio::error_code& error) {
      OnReadable(read, error);
    });
  }

  void OnReadable(const pending_read& read, const asio::error_code& error) {
    if (link_->closed || error) {
      read.done(link_->closed ? asio::error::connection_reset : error, 0);
      return;
    }
    asio::error_code failure;
    const std::size_t bytes =
        read_some(asio::buffer(service_->scratch), failure);
    if (failure && failure != asio::error::would_block) {
      read.done(failure, 0);
      return;
    }
    if (!failure && !link_->refused)
      Receive(std::string_view(service_->scratch.data(), bytes));
    Continue(read);
  }

  void Receive(std::string_view bytes) {
    const intake::read_progress progress = link_->reader.Read(bytes);
    if (bytes.empty() && progress.phase == intake::reading::kEmpty)
      return;
    link_->gate->Post(intake::request_read{.at = link_->gate->Now(),
                                           .connection = link_->id,
                                           .progress = progress});
    if (link_->closed || link_->refused ||
        progress.phase != intake::reading::kComplete) {
      SendContinueIfAwaited();
      return;
    }
    link_->request = link_->reader.Take();
    link_->passing = true;
  }

  // A client may wait for this before it sends the body (RFC 9110, 10.1.1).
  void SendContinueIfAwaited() {
    if (link_->closed || link_->refused || !link_->reader.TakeContinue())
      return;
    asio::error_code ignored;
    write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")),
               ignored);
  }

  void PassOn(const pending_read& read) {
    const std::size_t bytes = std::min(
        read.buffer.size(), link_->request.size() - link_->passed_bytes);
    std::memcpy(read.buffer.data(), link_->request.data() + link_->passed_bytes,
                bytes);
    link_->passed_bytes += bytes;
    if (link_->passed_bytes == link_->request.size()) {
      link_->request = std::string();
      link_->passed_bytes = 0;
    }
    asio::post(get_executor(), [read, bytes] { read.done({}, bytes); });
  }

  // The client may read the refusal until the gate closes the connection: a
  // close with unread bytes would reset it.
  void Refuse(const intake::refuse_request& refusal) {
    link_->refused = true;
    link_->reader.Clear();
    asio::error_code ignored;
    write_some(asio::buffer(RefusalBytes(refusal)), ignored);
    shutdown(shutdown_send, ignored);
  }

  // RESTinio learns of it from the read that ends.
  void CloseNow() {
    link_->closed = true;
    link_->reader.Clear();
    asio::error_code ignored;
    close(ignored);
  }

  void ReportClosed() {
    link_->gate->Post(intake::connection_closed{.at = link_->gate->Now(),
                                                .connection = link_->id});
  }

  accept_service* service_;
  std::unique_ptr<link> link_;
};

struct server_traits : public restinio::default_single_thread_traits_t {
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
  using connection_state_listener_t = connection_listener;
  using stream_socket_t = gated_socket;
};

using server = restinio::http_server_t<server_traits>;

constexpr std::chrono::hours kRequestTimeout{1};
constexpr std::chrono::seconds kWriteTimeout{60};
// The gate ends waits for requests.
constexpr std::chrono::hours kReadTimeout{24};
// Between two looks at a listening socket.
constexpr std::chrono::seconds kListenerCheckInterval{1};
constexpr int kNotListening = -1;

}  // namespace

struct server_state {
  server_state(asio::io_context& io, const socket_options& sockets)
      : options(sockets), check_timer(io) {}

  const socket_options options;
  http_handlers handlers;
  asio::steady_timer check_timer;
  // The listening socket. RESTinio owns it.
  int listening = kNotListening;
  std::uint64_t pending_replies = 0;
  bool closing = false;
  std::function<void()> on_written;
  std::shared_ptr<client_gate> gate;
  std::uint32_t number = 0;
  std::unique_ptr<server> http;
};

namespace {

std::string ToLower(const std::string& text) {
  std::string lower = text;
  std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return lower;
}

wire::http_call ToHttpCall(const restinio::request_handle_t& request) {
  std::map<std::string, std::string> headers;
  request->header().for_each_field(
      [&](const restinio::http_header_field_t& field) {
        headers[ToLower(field.name())] = field.value();
      });
  return {.method = request->header().method().c_str(),
          .path = std::string(request->header().path()),
          .query = std::string(request->header().query()),
          .headers = std::move(headers),
          .body = request->body()};
}

void OnReplyWritten(const std::shared_ptr<server_state>& state,
                    std::uint64_t connection) {
  state->gate->Post(intake::reply_written{
      .at = state->gate->Now(),
      .connection = {.server = state->number, .number = connection}});
  --state->pending_replies;
  if (state->pending_replies != 0 || !state->on_written)
    return;
  const std::function<void()> done = std::exchange(state->on_written, nullptr);
  done();
}

void Respond(const std::shared_ptr<server_state>& state,
             const restinio::request_handle_t& request,
             const wire::http_reply& reply) {
  const restinio::http_status_line_t status{
      restinio::http_status_code_t(static_cast<std::uint16_t>(reply.status)),
      reply.status < 400 ? "OK" : "Refused"};
  auto response = request->create_response(status);
  response.append_header(restinio::http_field::content_type,
                         reply.content_type);
  for (const auto& [name, value] : reply.headers)
    response.append_header(name, value);
  if (state->closing)
    response.connection_close();
  state->gate->Post(
      intake::reply_ready{.at = state->gate->Now(),
                          .connection = {.server = state->number,
                                         .number = request->connection_id()},
                          .bytes = reply.body.size()});
  response.set_body(reply.body);
  ++state->pending_replies;
  response.done([state, connection = request->connection_id()](const auto&) {
    OnReplyWritten(state, connection);
  });
}

restinio::request_handling_status_t HandleRequest(
    const std::shared_ptr<server_state>& state,
    const restinio::request_handle_t& request) {
  state->handlers.call(ToHttpCall(request), request->connection_id(),
                       [state, request](const wire::http_reply& reply) {
                         Respond(state, request, reply);
                       });
  return restinio::request_accepted();
}

// RESTinio listens with the longest queue that the system allows; this shortens
// it (listen(2)).
void Listen(server_state& state) {
  state.http->open_sync();
  if (listen(state.listening, static_cast<int>(state.options.backlog)) != 0)
    throw std::system_error(errno, std::generic_category(), "listen");
}

void StopListening(server_state& state) {
  state.http->close_sync();
  state.listening = kNotListening;
}

// RESTinio does not accept any more once it has failed to. If this fails too,
// the next check finds that the server does not listen.
void ListenAnew(server_state& state) {
  StopListening(state);
  try {
    Listen(state);
  } catch (const std::exception& error) {
    StopListening(state);
    WriteJsonLog(
        work::write_log{.level = work::log_level::kWarning,
                        .decision = "listen_failed",
                        .subject = std::to_string(state.number),
                        .fields = {{.name = "why", .value = error.what()}}});
  }
}

bool HasWaitingConnections(int listening) {
  pollfd look{.fd = listening, .events = POLLIN, .revents = 0};
  return poll(&look, 1, 0) == 1;
}

bool HasFreeDescriptor() {
  const int copy = dup(STDERR_FILENO);
  if (copy < 0)
    return false;
  close(copy);
  return true;
}

void CheckListener(server_state& state) {
  const bool waiting = state.listening == kNotListening ||
                       HasWaitingConnections(state.listening);
  state.gate->Post(intake::listener_checked{
      .at = state.gate->Now(),
      .server = state.number,
      .waiting = waiting,
      .descriptor_free = !waiting || HasFreeDescriptor()});
}

void CheckListenerRegularly(const std::shared_ptr<server_state>& state) {
  state->check_timer.expires_after(kListenerCheckInterval);
  state->check_timer.async_wait([weak = std::weak_ptr<server_state>(state)](
                                    const asio::error_code& error) {
    const auto state = weak.lock();
    if (error || !state)
      return;
    CheckListener(*state);
    CheckListenerRegularly(state);
  });
}

gate_hooks TrustingHooks(std::uint32_t max_body_bytes) {
  constexpr std::uint64_t kNoBound = std::numeric_limits<std::int64_t>::max();
  return {.limits =
              [max_body_bytes] {
                return intake::limits{
                    .max_body_bytes = max_body_bytes,
                    .memory_bytes = kNoBound,
                    .max_caller_connections =
                        std::numeric_limits<std::uint32_t>::max()};
              },
          .clock = [clock = monotonic_clock()] { return clock.Now(); },
          .count = [](const work::count_metric&) {},
          .log = [](const work::write_log&) {}};
}

}  // namespace

}  // namespace detail

http_server::http_server(asio::io_context& io,
                         const std::string& address,
                         std::shared_ptr<client_gate> gate,
                         intake::listener kind,
                         http_handlers handlers,
                         const socket_options& options)
    : state_(std::make_shared<detail::server_state>(io, options)) {
  state_->handlers = std::move(handlers);
  state_->gate = std::move(gate);
  const std::size_t colon = address.rfind(':');
  const auto port =
      static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
  const std::weak_ptr<detail::server_state> weak = state_;
  state_->number = state_->gate->AddServer([weak] {
    if (const auto state = weak.lock())
      detail::ListenAnew(*state);
  });
  auto listener = std::make_shared<detail::connection_listener>(
      detail::connection_listener::hooks{
          .opened =
              [weak, kind, &io](std::uint64_t connection,
                                const std::string& client) {
                const auto state = weak.lock();
                if (!state)
                  return;
                asio::use_service<detail::accept_service>(io).accepted = {
                    .gate = state->gate,
                    .kind = kind,
                    .id = {.server = state->number, .number = connection},
                    .address = client};
              },
          .closed =
              [weak](std::uint64_t connection) {
                const auto state = weak.lock();
                if (!state)
                  return;
                state->gate->Post(intake::connection_closed{
                    .at = state->gate->Now(),
                    .connection = {.server = state->number,
                                   .number = connection}});
                state->handlers.closed(connection);
              }});
  state_->http = std::make_unique<detail::server>(
      restinio::external_io_context(io), [&](auto& settings) {
        settings.address(address.substr(0, colon))
            .port(port)
            .handle_request_timeout(detail::kRequestTimeout)
            .write_http_response_timelimit(detail::kWriteTimeout)
            .read_next_http_message_timelimit(detail::kReadTimeout)
            .acceptor_options_setter(
                [buffer_bytes = options.receive_buffer_bytes](auto& options) {
                  // This setter replaces the default one, which does the same:
                  // without it a restarted process can't listen while
                  // connections of the former one wait for late packets.
                  options.set_option(asio::socket_base::reuse_address(true));
                  // The kernel would let each connection fill several megabytes
                  // that are not read (tcp(7), tcp_rmem).
                  options.set_option(asio::socket_base::receive_buffer_size(
                      static_cast<int>(buffer_bytes)));
                })
            .acceptor_post_bind_hook([weak](asio::ip::tcp::acceptor& acceptor) {
              if (const auto state = weak.lock())
                state->listening = acceptor.native_handle();
            })
            .connection_state_listener(listener)
            .request_handler([weak](const restinio::request_handle_t& request) {
              const auto state = weak.lock();
              return state ? detail::HandleRequest(state, request)
                           : restinio::request_rejected();
            });
      });
  detail::Listen(*state_);
  detail::CheckListenerRegularly(state_);
}

http_server::http_server(asio::io_context& io,
                         const std::string& address,
                         std::uint32_t max_body_bytes,
                         http_handlers handlers)
    : http_server(
          io,
          address,
          std::make_shared<client_gate>(io,
                                        detail::TrustingHooks(max_body_bytes)),
          intake::listener::kCallers,
          std::move(handlers),
          {}) {}

http_server::~http_server() {
  state_->check_timer.cancel();
  state_->http->close_sync();
}

void http_server::CloseAfterReplies() {
  state_->closing = true;
}

void http_server::NotifyWhenWritten(std::function<void()> done) {
  if (state_->pending_replies == 0) {
    done();
    return;
  }
  state_->on_written = std::move(done);
}

}  // namespace parsleyhitch::runtime
