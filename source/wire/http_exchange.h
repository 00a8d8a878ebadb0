// HTTP requests that this process sends, and their outcomes.

#ifndef PARSLEYHITCH_WIRE_HTTP_EXCHANGE_H_
#define PARSLEYHITCH_WIRE_HTTP_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "model/time.h"

namespace parsleyhitch::wire {

struct http_request {
  const std::string method;
  // "http://ip:port/path".
  const std::string url;
  // "Name: value" lines.
  const std::vector<std::string> headers{};
  const std::string body;
  const model::duration timeout{0};
  // If set, the request also fails when no byte of the response arrives for
  // this long; a large response over a narrow link may take up to `timeout`.
  const model::duration stall_timeout{0};
  // Send over a new connection that is not reused. Required for requests that
  // must not be sent twice: libcurl retries by itself when a reused connection
  // turns out to be closed.
  const bool dedicated_connection = false;

  bool operator==(const http_request&) const = default;
};

// A complete response: its headers give its length, and the body was received
// in full.
struct http_response {
  const std::uint32_t status = 0;
  // Names in lower case.
  const std::map<std::string, std::string> headers{};
  const std::string body;
  // Bytes of the request's body that were sent.
  const std::uint64_t bytes_written = 0;

  bool operator==(const http_response&) const = default;
};

// No complete response was received.
struct http_failure {
  // False only when no byte of the request was sent.
  const bool sent = true;
  // The peer refused or closed the connection, as it does when its process has
  // ended. False when nothing was heard of it.
  const bool disconnected = false;
  // Bytes of the request's body that were sent, and of the response's body that
  // were received.
  const std::uint64_t bytes_written = 0;
  const std::uint64_t bytes_read = 0;

  bool operator==(const http_failure&) const = default;
};

using http_outcome = std::variant<http_response, http_failure>;

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_HTTP_EXCHANGE_H_
