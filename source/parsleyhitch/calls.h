// HTTP calls to entries.

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

// Calls one entry and blocks until the outcome is known.
runtime::http_outcome CallEntry(const std::string& address,
                                const entry_call& call);

// Tries the entries in order until one accepts a connection, prints its reply
// and returns the exit code. A call that was sent but not answered is not
// retried.
int CallAndPrint(const command_input& input, const entry_call& call);

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_CALLS_H_
