// Naive replacements for the hooks that enforce the invariants. They show that
// the traces test something: an invariant's traces must pass with the product's
// hook, and at least one must fail with the naive one.

#ifndef PARSLEYHITCH_REPLAY_NAIVE_H_
#define PARSLEYHITCH_REPLAY_NAIVE_H_

#include <string>
#include <vector>

#include "scheduler/hooks.h"

namespace parsleyhitch::replay {

// Replaces the named hooks by naive ones; unknown names are ignored.
scheduler::hooks ApplyNaiveHooks(scheduler::hooks hooks,
                                 const std::vector<std::string>& names);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_NAIVE_H_
