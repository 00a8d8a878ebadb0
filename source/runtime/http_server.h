// The HTTP server towards callers and operators, by RESTinio on the Asio loop.

#ifndef PARSLEYHITCH_RUNTIME_HTTP_SERVER_H_
#define PARSLEYHITCH_RUNTIME_HTTP_SERVER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "wire/api.h"

namespace parsleyhitch::runtime {

// Sends the one reply to a call; may be called later, on the loop.
using http_responder = std::function<void(const wire::http_reply&)>;

struct http_handlers {
  // `connection` names the call's connection until `closed` names it.
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
  // Listens at "ip:port". Throws std::exception when it can't.
  http_server(asio::io_context& io,
              const std::string& address,
              std::uint32_t max_body_bytes,
              http_handlers handlers);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // From now on each reply closes its connection.
  void CloseAfterReplies();

  // Calls back, on the loop, once every reply handed over has been written.
  void WhenWritten(std::function<void()> done);

 private:
  std::shared_ptr<detail::server_state> state_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_HTTP_SERVER_H_
