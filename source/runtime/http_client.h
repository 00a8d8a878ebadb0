// Asynchronous HTTP client: libcurl's multi interface on the Asio event loop.

#ifndef PARSLEYHITCH_RUNTIME_HTTP_CLIENT_H_
#define PARSLEYHITCH_RUNTIME_HTTP_CLIENT_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "wire/http_exchange.h"

namespace parsleyhitch::runtime {

using wire::http_failure;
using wire::http_outcome;
using wire::http_request;
using wire::http_response;
using http_callback = std::function<void(http_outcome)>;

namespace detail {
struct client_state;
}

class http_client {
 public:
  explicit http_client(asio::io_context& io);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Calls `done` exactly once, on the event loop, with the response or the
  // failure. Requests still open when the client is destroyed are not called
  // back.
  void Send(http_request request, http_callback done);

 private:
  std::shared_ptr<detail::client_state> state_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_HTTP_CLIENT_H_
