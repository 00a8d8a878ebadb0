// The one reducer over all events.

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

// The state after the event, and what is to be done. Reads no clock and no
// random source.
step Reduce(const environment& env, state before, const work::event& event);

// True when the entry can serve callers.
bool IsReady(const state& state);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_REDUCE_H_
