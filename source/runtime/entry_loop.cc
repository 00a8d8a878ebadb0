// Feeds events to the reducer.

#include "runtime/entry_loop.h"

#include <utility>

namespace parsleyhitch::runtime {

entry_loop::entry_loop(const scheduler::environment& environment,
                       loop_hooks hooks)
    : environment_(environment), hooks_(std::move(hooks)) {}

void entry_loop::Post(model::event event) {
  waiting_.push_back(std::move(event));
  if (busy_)
    return;
  busy_ = true;
  while (!waiting_.empty())
    ReduceNext();
  busy_ = false;
}

void entry_loop::ReduceNext() {
  const model::event event = std::move(waiting_.front());
  waiting_.pop_front();
  scheduler::step step =
      scheduler::Reduce(environment_, std::move(state_), event);
  state_ = std::move(step.state);
  if (hooks_.observe)
    hooks_.observe(event, step.effects);
  for (const model::effect& effect : step.effects)
    hooks_.perform(effect);
}

}  // namespace parsleyhitch::runtime
