// HTTP server for callers and operators: RESTinio on the Asio event loop.

#ifndef PARSLEYHITCH_RUNTIME_HTTP_SERVER_H_
#define PARSLEYHITCH_RUNTIME_HTTP_SERVER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "intake/limits.h"
#include "runtime/client_gate.h"
#include "runtime/socket_options.h"
#include "wire/api.h"

namespace parsleyhitch::runtime {

// Sends the reply to a call. Called once, on the event loop, either from within
// the handler or later.
using http_responder = std::function<void(const wire::http_reply&)>;

struct http_handlers {
  // `connection` identifies the call's connection until `closed` is called with
  // it.
  std::function<void(wire::http_call call,
                     std::uint64_t connection,
                     http_responder respond)>
      call;
  std::function<void(std::uint64_t connection)> closed;
};

namespace detail {
struct server_state;
}

class http_server {
 public:
  // Listens on "ip:port". Throws std::exception if the address can't be bound.
  // `gate` decides what clients may send.
  http_server(asio::io_context& io,
              const std::string& address,
              std::shared_ptr<client_gate> gate,
              intake::listener kind,
              http_handlers handlers,
              const socket_options& options);
  // For clients that can be trusted: bounds only the size of a body.
  http_server(asio::io_context& io,
              const std::string& address,
              std::uint32_t max_body_bytes,
              http_handlers handlers);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Makes every reply from now on close its connection.
  void CloseAfterReplies();

  // Calls `done`, on the event loop, once all replies passed to responders have
  // been written.
  void NotifyWhenWritten(std::function<void()> done);

 private:
  std::shared_ptr<detail::server_state> state_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_HTTP_SERVER_H_
