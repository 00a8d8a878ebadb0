// HTTP calls to entries.

#include "parsleyhitch/calls.h"

#include <asio/io_context.hpp>
#include <iostream>
#include <optional>

#include "parsleyhitch/exit_codes.h"
#include "parsleyhitch/output.h"

namespace parsleyhitch {

namespace {

constexpr model::duration kCallTimeout{30000};
constexpr std::uint32_t kFirstErrorStatus = 400;

int ExitCodeOf(const runtime::http_response& response) {
  if (response.status < kFirstErrorStatus)
    return kExitOk;
  const auto run = response.headers.find("parsleyhitch-run");
  const bool unknown =
      run != response.headers.end() && run->second == "outcome_unknown";
  return unknown ? kExitOutcomeUnknown : kExitNotRun;
}

}  // namespace

runtime::http_outcome CallEntry(const std::string& address,
                                const entry_call& call) {
  asio::io_context io(1);
  runtime::http_client client(io);
  std::optional<runtime::http_outcome> outcome;
  client.Send({.method = call.method,
               .url = "http://" + address + call.path,
               .headers = call.headers,
               .body = call.body,
               .timeout = kCallTimeout,
               .dedicated_connection = true},
              [&](const runtime::http_outcome& received) {
                outcome.emplace(received);
                io.stop();
              });
  io.run();
  return outcome ? *outcome : runtime::http_outcome(runtime::http_failure{});
}

int CallAndPrint(const command_input& input, const entry_call& call) {
  for (const std::string& address : input.entries) {
    const runtime::http_outcome outcome = CallEntry(address, call);
    if (const auto* response = std::get_if<runtime::http_response>(&outcome)) {
      PrintReply(response->body, input.json);
      return ExitCodeOf(*response);
    }
    if (std::get<runtime::http_failure>(outcome).sent) {
      std::cerr << address
                << ": no response; the call may or may not have taken effect\n";
      return kExitOutcomeUnknown;
    }
  }
  std::cerr << "no entry is reachable\n";
  return kExitUnreachable;
}

}  // namespace parsleyhitch
