// Calls to entries.

#ifndef PARSLEYHITCH_PARSLEYHITCH_CALLS_H_
#define PARSLEYHITCH_PARSLEYHITCH_CALLS_H_

#include <string>
#include <vector>

#include "parsleyhitch/commands.h"
#include "runtime/http_client.h"

namespace parsleyhitch {

struct entry_call {
  const std::string method;
  const std::string path;
  const std::vector<std::string> headers{};
  const std::string body;
};

// Calls one entry and waits for the outcome.
runtime::http_outcome CallEntry(const std::string& address,
                                const entry_call& call);

// Calls the entries in order until one can be connected to, prints the reply,
// and gives the exit code. A call that was sent and got no answer is not sent
// again.
int CallAndPrint(const command_input& input, const entry_call& call);

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_CALLS_H_
