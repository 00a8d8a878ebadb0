// parsleyhitch check: settings and manifests.

#ifndef PARSLEYHITCH_PARSLEYHITCH_CHECK_H_
#define PARSLEYHITCH_PARSLEYHITCH_CHECK_H_

#include "parsleyhitch/commands.h"

namespace parsleyhitch {

int RunCheck(const command_input& input);

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_CHECK_H_
