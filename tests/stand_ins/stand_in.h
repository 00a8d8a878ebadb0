// Stand-ins for what the platform gives, each a process of its own. Tests tell
// them to misbehave by POST /control.

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

// The platform's log. It listens at each address; control can cut one off, so
// that a test can cut one entry from the log.
void RunLog(asio::io_context& io, const std::vector<std::string>& addresses);

// The platform's VM list. Control replaces it whole.
void RunVmList(asio::io_context& io, const std::string& address);

// A worker that is an endpoint as well.
void RunWorker(asio::io_context& io,
               const std::string& address,
               std::uint32_t accelerators,
               std::int64_t task_ms);

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_STAND_IN_H_
