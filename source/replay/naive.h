// Naive hooks in place of the mechanisms that keep the invariants. With one of
// them a trace must fail; with the product's it must pass.

#ifndef PARSLEYHITCH_REPLAY_NAIVE_H_
#define PARSLEYHITCH_REPLAY_NAIVE_H_

#include <string>
#include <vector>

#include "scheduler/hooks.h"

namespace parsleyhitch::replay {

// Replaces the hooks named; unknown names are ignored.
scheduler::hooks WithNaive(scheduler::hooks hooks,
                           const std::vector<std::string>& names);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_NAIVE_H_
