// HTTP calls by libcurl's multi interface, driven by the Asio loop's sockets
// and timers.

#ifndef PARSLEYHITCH_RUNTIME_HTTP_CLIENT_H_
#define PARSLEYHITCH_RUNTIME_HTTP_CLIENT_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "model/time.h"

namespace parsleyhitch::runtime {

struct http_request {
  const std::string method;
  // "http://ip:port/path".
  const std::string url;
  // "Name: value" lines.
  const std::vector<std::string> headers{};
  const std::string body;
  const model::duration timeout{0};
  // A request that must not be repeated goes over a connection of its own:
  // libcurl repeats one by itself when a kept connection turns out to be dead.
  const bool own_connection = false;
};

// A whole answer: its length is known from its headers and all of it came.
struct http_response {
  const std::uint32_t status = 0;
  // Names in lower case.
  const std::map<std::string, std::string> headers{};
  const std::string body;
};

struct http_failure {
  // False only when no byte of the request was sent.
  const bool sent = true;
};

using http_outcome = std::variant<http_response, http_failure>;
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

  // Calls back once, on the loop.
  void Send(http_request request, http_callback done);

 private:
  std::shared_ptr<detail::client_state> state_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_HTTP_CLIENT_H_
