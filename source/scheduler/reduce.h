// The reducer, which makes all decisions of an entry. It is a pure function:
// time, seeds and names come in on events, and all actions go out as effects.

#ifndef PARSLEYHITCH_SCHEDULER_REDUCE_H_
#define PARSLEYHITCH_SCHEDULER_REDUCE_H_

#include <vector>

#include "model/effect.h"
#include "model/event.h"
#include "model/limits.h"
#include "scheduler/entry_state.h"
#include "scheduler/hooks.h"

namespace parsleyhitch::scheduler {

// The configuration of an entry; constant for the life of the process.
struct environment {
  const model::entry_id me;
  // The other entries.
  const std::vector<model::entry_id> peers{};
  const model::limits limits;
  const hooks behaviour;
};

// The next state, and the effects to carry out, in order.
struct step {
  entry_state state;
  model::effects effects;
};

// Handles one event. After the entry has stopped, events change nothing.
step Reduce(const environment& environment,
            entry_state state,
            const model::event& event);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_REDUCE_H_
