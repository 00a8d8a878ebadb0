// The reducer: the only place where anything is decided. It is pure: time,
// seeds and names come in on events, everything it wants done goes out as
// effects.

#ifndef PARSLEYHITCH_SCHEDULER_REDUCE_H_
#define PARSLEYHITCH_SCHEDULER_REDUCE_H_

#include <vector>

#include "model/effect.h"
#include "model/event.h"
#include "model/limits.h"
#include "scheduler/entry_state.h"
#include "scheduler/hooks.h"

namespace parsleyhitch::scheduler {

// What an entry is given at construction; the same for its whole life.
struct environment {
  const model::entry_id me;
  // The other entries.
  const std::vector<model::entry_id> peers{};
  const model::limits limits;
  const hooks behaviour;
};

// The state reached, and what is to be done, in order.
struct step {
  entry_state state;
  model::effects effects;
};

step Reduce(const environment& environment,
            entry_state state,
            const model::event& event);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_REDUCE_H_
