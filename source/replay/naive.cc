// Naive hooks.

#include "replay/naive.h"

#include <functional>
#include <map>
#include <utility>

namespace parsleyhitch::replay {

namespace {

using replacement = std::function<void(scheduler::hooks&)>;

const std::map<std::string, replacement>& Replacements() {
  static const std::map<std::string, replacement> replacements{
      // 1: firm work takes whatever is free.
      {"leaves_guarantees",
       [](scheduler::hooks& hooks) {
         hooks.leaves_guarantees = [](const auto&, auto, auto) { return true; };
       }},
      // 2: each member starts as soon as it is held itself.
      {"may_start",
       [](scheduler::hooks& hooks) {
         hooks.may_start = [](const model::placement&,
                              const model::member& member) {
           return member.state != model::task_state::kPending;
         };
       }},
      // 3: any answer to the call will do.
      {"answers_request",
       [](scheduler::hooks& hooks) {
         hooks.answers_request = [](const auto&) { return true; };
       }},
      // 4: no answer is taken to mean that nothing ran.
      {"refusal_state",
       [](scheduler::hooks& hooks) {
         hooks.refusal_state = [](const auto&) {
           return model::run_state::kNotRun;
         };
       }},
      // 5: whoever is asked runs.
      {"may_run_once",
       [](scheduler::hooks& hooks) {
         hooks.may_run_once = [](const auto*, const auto&) { return true; };
       }},
      // 6: only the VM list counts.
      {"is_leaving",
       [](scheduler::hooks& hooks) {
         hooks.is_leaving = [](const scheduler::leaving_view& view) {
           return view.listed;
         };
       }},
      // 7: a planned stop is a stop.
      {"may_stop",
       [](scheduler::hooks& hooks) {
         hooks.may_stop = [](const auto&) { return true; };
       }},
      // 8: the last write wins.
      {"supersedes",
       [](scheduler::hooks& hooks) {
         hooks.supersedes = [](const auto*, const auto&) { return true; };
       }},
  };
  return replacements;
}

}  // namespace

scheduler::hooks WithNaive(scheduler::hooks hooks,
                           const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    const auto found = Replacements().find(name);
    if (found != Replacements().end())
      found->second(hooks);
  }
  return hooks;
}

}  // namespace parsleyhitch::replay
