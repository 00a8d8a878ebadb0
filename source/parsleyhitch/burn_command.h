// parsleyhitch burn: service-level burn of live entries or of a trace.

#ifndef PARSLEYHITCH_PARSLEYHITCH_BURN_COMMAND_H_
#define PARSLEYHITCH_PARSLEYHITCH_BURN_COMMAND_H_

#include "parsleyhitch/commands.h"

namespace parsleyhitch {

// Returns the exit code.
int RunBurn(const command_input& input);

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_BURN_COMMAND_H_
