// Traces as files: a JSON object a line; lines that begin with "//" are
// comments.

#ifndef PARSLEYHITCH_REPLAY_SCENARIO_FILE_H_
#define PARSLEYHITCH_REPLAY_SCENARIO_FILE_H_

#include <string>

#include "replay/scenario.h"
#include "wire/base.h"

namespace parsleyhitch::replay {

// The trace, or every finding with its line.
wire::result<scenario> ParseScenario(const std::string& text);

std::string EncodeScenarioLine(const scenario_line& line);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_SCENARIO_FILE_H_
