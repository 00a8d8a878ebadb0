// HTTP calls that this process makes, and what comes of them.

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
  // A request that must not be repeated goes over a connection of its own:
  // libcurl repeats one by itself when a kept connection turns out to be dead.
  const bool own_connection = false;

  bool operator==(const http_request&) const = default;
};

// A whole answer: its length is known from its headers and all of it came.
struct http_response {
  const std::uint32_t status = 0;
  // Names in lower case.
  const std::map<std::string, std::string> headers{};
  const std::string body;

  bool operator==(const http_response&) const = default;
};

struct http_failure {
  // False only when no byte of the request was sent.
  const bool sent = true;

  bool operator==(const http_failure&) const = default;
};

using http_outcome = std::variant<http_response, http_failure>;

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_HTTP_EXCHANGE_H_
