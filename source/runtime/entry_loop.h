// Feeds events to the reducer, one at a time, and hands its effects on. It
// decides nothing.

#ifndef PARSLEYHITCH_RUNTIME_ENTRY_LOOP_H_
#define PARSLEYHITCH_RUNTIME_ENTRY_LOOP_H_

#include <deque>
#include <functional>

#include "model/effect.h"
#include "model/event.h"
#include "scheduler/reduce.h"

namespace parsleyhitch::runtime {

struct loop_hooks {
  // Performs one effect.
  std::function<void(const model::effect&)> perform;
  // Sees each event with the effects it led to; may be empty.
  std::function<void(const model::event&, const model::effects&)> observe;
};

class entry_loop {
 public:
  entry_loop(const scheduler::environment& environment, loop_hooks hooks);

  // Reduces the event and performs its effects. An event posted meanwhile waits
  // its turn.
  void Post(model::event event);

  const scheduler::entry_state& state() const { return state_; }

 private:
  void ReduceNext();

  const scheduler::environment& environment_;
  const loop_hooks hooks_;
  scheduler::entry_state state_;
  std::deque<model::event> waiting_;
  bool busy_ = false;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_ENTRY_LOOP_H_
