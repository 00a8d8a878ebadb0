// The only file that includes RESTinio, whose headers are slow to compile.

#include "runtime/http_server.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <map>
#include <restinio/all.hpp>
#include <utility>

namespace parsleyhitch::runtime {

namespace detail {

namespace {

// Reports closed connections, so that abandoned calls are detected.
class connection_close_listener {
 public:
  explicit connection_close_listener(std::function<void(std::uint64_t)> closed)
      : on_closed_(std::move(closed)) {}

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    if (std::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause()))
      on_closed_(notice.connection_id());
  }

 private:
  std::function<void(std::uint64_t)> on_closed_;
};

struct server_traits : public restinio::default_single_thread_traits_t {
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
  using connection_state_listener_t = connection_close_listener;
};

using server = restinio::http_server_t<server_traits>;

constexpr std::chrono::hours kRequestTimeout{1};
constexpr std::chrono::seconds kConnectionIdleTimeout{60};

}  // namespace

struct server_state {
  http_handlers handlers;
  std::uint64_t pending_replies = 0;
  bool closing = false;
  std::function<void()> on_written;
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

void OnReplyWritten(const std::shared_ptr<server_state>& state) {
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
  response.set_body(reply.body);
  ++state->pending_replies;
  response.done([state](const auto&) { OnReplyWritten(state); });
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

}  // namespace

}  // namespace detail

http_server::http_server(asio::io_context& io,
                         const std::string& address,
                         std::uint32_t max_body_bytes,
                         http_handlers handlers)
    : state_(std::make_shared<detail::server_state>()) {
  state_->handlers = std::move(handlers);
  const std::size_t colon = address.rfind(':');
  const auto port =
      static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
  const std::weak_ptr<detail::server_state> weak = state_;
  auto listener = std::make_shared<detail::connection_close_listener>(
      [weak](std::uint64_t connection) {
        if (const auto state = weak.lock())
          state->handlers.closed(connection);
      });
  state_->http = std::make_unique<detail::server>(
      restinio::external_io_context(io), [&](auto& settings) {
        settings.address(address.substr(0, colon))
            .port(port)
            .handle_request_timeout(detail::kRequestTimeout)
            .write_http_response_timelimit(detail::kConnectionIdleTimeout)
            .read_next_http_message_timelimit(detail::kConnectionIdleTimeout)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t().max_body_size(
                    max_body_bytes))
            .connection_state_listener(listener)
            .request_handler([weak](const restinio::request_handle_t& request) {
              const auto state = weak.lock();
              return state ? detail::HandleRequest(state, request)
                           : restinio::request_rejected();
            });
      });
  state_->http->open_sync();
}

http_server::~http_server() {
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
