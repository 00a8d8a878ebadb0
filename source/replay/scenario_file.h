// Reads and writes trace files: one JSON object per line; lines that begin with
// "//" are comments.

#ifndef PARSLEYHITCH_REPLAY_SCENARIO_FILE_H_
#define PARSLEYHITCH_REPLAY_SCENARIO_FILE_H_

#include <string>

#include "replay/scenario.h"
#include "wire/base.h"

namespace parsleyhitch::replay {

// Returns the trace, or the findings of all lines with their line numbers.
wire::result<scenario> ParseScenario(const std::string& text);

std::string EncodeScenarioLine(const scenario_line& line);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_SCENARIO_FILE_H_
