// Evaluates a simulation run against the expectations stated in its trace.

#ifndef PARSLEYHITCH_REPLAY_EXPECTATIONS_H_
#define PARSLEYHITCH_REPLAY_EXPECTATIONS_H_

#include <string>
#include <vector>

#include "replay/scenario.h"
#include "replay/simulation.h"

namespace parsleyhitch::replay {

// One row of the report: `expected` and `seen` are texts for the operator.
struct expectation_result {
  const std::string expected;
  const bool held = false;
  const std::string seen;
};

// Returns one row per expectation in the order of the trace, then one row for
// the invariants.
std::vector<expectation_result> EvaluateExpectations(const scenario& scenario,
                                                     const run_result& result);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_EXPECTATIONS_H_
