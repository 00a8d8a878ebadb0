// The reducer over all events of the dispatcher.

#ifndef PARSLEYHITCH_DISPATCH_REDUCE_H_
#define PARSLEYHITCH_DISPATCH_REDUCE_H_

#include "dispatch/environment.h"
#include "dispatch/state.h"
#include "work/effect.h"

namespace parsleyhitch::dispatch {

struct step {
  dispatch::state state;
  work::effects effects;
};

// Returns the state after the event and the effects to perform. Deterministic:
// reads neither a clock nor a random source.
step Reduce(const environment& env, state before, const work::event& event);

// True when the entry can serve client calls.
bool IsReady(const state& state);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_REDUCE_H_
