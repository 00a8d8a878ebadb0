// The callers' and operators' HTTP interface: what calls say, and how answers
// are put. `docs/API.md` describes it.

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

// An HTTP call as received. Header names are in lower case.
struct http_call {
  const std::string method;
  const std::string path;
  // What follows "?", if anything.
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

// Pages that the runtime answers itself.
enum class page { kMetrics, kHealth, kBurn };

// What a call asks for.
using api_request = std::variant<model::event, page>;

// The event that the call stands for at `at`, or the page it asks for. Every
// fault of the call is reported.
result<api_request> ParseCall(const http_call& call,
                              model::timestamp at,
                              model::call_number number);

// The reply to a call that could not be parsed.
http_reply ReplyToFaults(const model::findings& faults);

http_reply ReplyTo(const model::answer& answer);

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_API_H_
