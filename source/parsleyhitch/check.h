// parsleyhitch check: validates settings and manifest files.

#ifndef PARSLEYHITCH_PARSLEYHITCH_CHECK_H_
#define PARSLEYHITCH_PARSLEYHITCH_CHECK_H_

#include "parsleyhitch/commands.h"

namespace parsleyhitch {

// Arguments: the files. Returns the exit code, the highest over the files.
int RunCheck(const command_input& input);

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_CHECK_H_
