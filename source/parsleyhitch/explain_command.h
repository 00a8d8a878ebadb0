// parsleyhitch explain: the history of one request, from the entries' logs.

#ifndef PARSLEYHITCH_PARSLEYHITCH_EXPLAIN_COMMAND_H_
#define PARSLEYHITCH_PARSLEYHITCH_EXPLAIN_COMMAND_H_

#include "parsleyhitch/commands.h"

namespace parsleyhitch {

// Arguments: the request's ID, then log files. Returns the exit code.
int RunExplain(const command_input& input);

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_EXPLAIN_COMMAND_H_
