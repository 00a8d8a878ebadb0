// The HTTP API for callers and operators: parses requests into events and
// encodes answers as replies. `docs/API.md` describes the API.

#ifndef PARSLEYHITCH_WIRE_API_H_
#define PARSLEYHITCH_WIRE_API_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "model/event.h"
#include "wire/base.h"

namespace parsleyhitch::wire {

// A received HTTP request. Header names are in lower case.
struct http_call {
  const std::string method;
  const std::string path;
  // The part after "?"; empty if there is none.
  const std::string query;
  const std::map<std::string, std::string> headers{};
  const std::string body;
  bool operator==(const http_call&) const = default;
};

struct http_reply {
  const std::uint32_t status = 0;
  const std::string content_type;
  const std::map<std::string, std::string> headers{};
  const std::string body;
  bool operator==(const http_reply&) const = default;
};

// Pages that the runtime serves without the reducer.
enum class page { kMetrics, kHealth, kBurn };

// A parsed call: an event for the reducer, or a page.
using api_request = std::variant<model::event, page>;

// Parses a call received at `at` into an event or a page. On failure, all
// errors of the headers, or all errors of the body, are reported together.
result<api_request> ParseCall(const http_call& call,
                              model::timestamp at,
                              model::call_number number);

// The reply to a call that ParseCall rejected.
http_reply ReplyToFindings(const model::findings& findings);

http_reply ReplyTo(const model::answer& answer);

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_API_H_
