// Asynchronous HTTP client: libcurl's multi interface on the Asio event loop.

#ifndef PARSLEYHITCH_RUNTIME_HTTP_CLIENT_H_
#define PARSLEYHITCH_RUNTIME_HTTP_CLIENT_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

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
  // Each host belongs to one of them, by its hash. libcurl walks the lists of a
  // multi handle for each transfer, so that one for all hosts would take more
  // time for each the more there are. Not resized after the constructor:
  // libcurl has the addresses of the elements.
  std::vector<std::shared_ptr<detail::client_state>> shards_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_HTTP_CLIENT_H_
