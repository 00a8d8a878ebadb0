// parsleyhitch replay: runs traces and recordings through the reducer.

#ifndef PARSLEYHITCH_PARSLEYHITCH_REPLAY_COMMAND_H_
#define PARSLEYHITCH_PARSLEYHITCH_REPLAY_COMMAND_H_

#include "parsleyhitch/commands.h"

namespace parsleyhitch {

// Returns the exit code.
int RunReplay(const command_input& input);

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_REPLAY_COMMAND_H_
