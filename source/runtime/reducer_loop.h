// Passes events to a reducer one at a time and has its effects performed.
// Contains no decision logic.

#ifndef PARSLEYHITCH_RUNTIME_REDUCER_LOOP_H_
#define PARSLEYHITCH_RUNTIME_REDUCER_LOOP_H_

#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace parsleyhitch::runtime {

// `Step` holds the new `state` and the `effects` to perform.
template <typename Event, typename Step>
class reducer_loop {
 public:
  using state_type = decltype(Step::state);
  using effects_type = decltype(Step::effects);
  using effect_type = typename effects_type::value_type;

  struct hooks {
    std::function<Step(state_type, const Event&)> reduce;
    // Performs one effect.
    std::function<void(const effect_type&)> perform;
    // Called with each event and its effects before they are performed; may be
    // empty.
    std::function<void(const Event&, const effects_type&)> observe;
  };

  explicit reducer_loop(hooks hooks) : hooks_(std::move(hooks)) {}

  // Reduces the event and performs its effects. An event posted while another
  // is being processed is queued.
  void Post(Event event) {
    queue_.push_back(std::move(event));
    if (processing_)
      return;
    processing_ = true;
    while (!queue_.empty())
      ReduceNext();
    processing_ = false;
  }

  const state_type& state() const { return state_; }

 private:
  void ReduceNext() {
    const Event event = std::move(queue_.front());
    queue_.pop_front();
    Step step = hooks_.reduce(std::move(state_), event);
    state_ = std::move(step.state);
    if (hooks_.observe)
      hooks_.observe(event, step.effects);
    for (const effect_type& effect : step.effects)
      hooks_.perform(effect);
  }

  const hooks hooks_;
  state_type state_;
  std::deque<Event> queue_;
  bool processing_ = false;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_REDUCER_LOOP_H_
