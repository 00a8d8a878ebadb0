// Generates the workloads of the two reference users from a seed.

#ifndef PARSLEYHITCH_REPLAY_WORKLOAD_H_
#define PARSLEYHITCH_REPLAY_WORKLOAD_H_

#include <vector>

#include "replay/scenario.h"

namespace parsleyhitch::replay {

// Returns the trace lines of the workload; none if the name is unknown.
std::vector<scenario_line> GenerateWorkload(const workload& requested);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_WORKLOAD_H_
