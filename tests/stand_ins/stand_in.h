// Stand-ins for the platform's services, each run as a separate process. Tests
// inject faults with POST /control.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_STAND_IN_H_
#define PARSLEYHITCH_TESTS_STAND_INS_STAND_IN_H_

#include <asio/io_context.hpp>
#include <string>
#include <vector>

#include "runtime/http_server.h"
#include "wire/api.h"

namespace parsleyhitch::stand_ins {

inline constexpr std::uint32_t kMaxBodyBytes = 16777216;

inline wire::http_reply JsonReply(std::uint32_t status, std::string body) {
  return {.status = status,
          .content_type = "application/json",
          .body = std::move(body)};
}

// The platform's log. It listens on every address, one for each entry; a
// control call can disable single addresses, which cuts those entries off from
// the log.
void RunLog(asio::io_context& io, const std::vector<std::string>& addresses);

// The platform's VM list. The body of a control call replaces the whole list,
// or is "down", after which calls are answered with 503.
void RunVmList(asio::io_context& io, const std::string& address);

// A worker that also serves as an endpoint. Tasks run for `task_ms`.
void RunWorker(asio::io_context& io,
               const std::string& address,
               std::uint32_t accelerators,
               std::int64_t task_ms);

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_STAND_IN_H_
