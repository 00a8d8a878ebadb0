// Judges a run by the outcomes that its trace states.

#ifndef PARSLEYHITCH_REPLAY_EXPECTATIONS_H_
#define PARSLEYHITCH_REPLAY_EXPECTATIONS_H_

#include <string>
#include <vector>

#include "replay/scenario.h"
#include "replay/stage.h"

namespace parsleyhitch::replay {

struct judged_outcome {
  const std::string expected;
  const bool held = false;
  const std::string seen;
};

// One line for each stated outcome, and one for the invariants.
std::vector<judged_outcome> Judge(const scenario& scenario,
                                  const run_result& result);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_EXPECTATIONS_H_
