// The two users' loads, made from a seed by their sizes and words in the brief.

#ifndef PARSLEYHITCH_REPLAY_WORKLOAD_H_
#define PARSLEYHITCH_REPLAY_WORKLOAD_H_

#include <vector>

#include "replay/scenario.h"

namespace parsleyhitch::replay {

// The lines that the workload stands for; none for an unknown name.
std::vector<scenario_line> GenerateWorkload(const workload& wanted);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_WORKLOAD_H_
