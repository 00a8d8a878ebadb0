// One naive hook for each of the eight invariants, numbered as the traces are.

#include "replay/naive.h"

#include <functional>
#include <map>
#include <utility>

namespace parsleyhitch::replay {

namespace {

using replacement = std::function<void(scheduler::hooks&)>;

const std::map<std::string, replacement>& Replacements() {
  static const std::map<std::string, replacement> replacements{
      // 1: firm work may use any free capacity, reserved or not.
      {"leaves_guarantees",
       [](scheduler::hooks& hooks) {
         hooks.leaves_guarantees = [](const auto&, auto, auto) { return true; };
       }},
      // 2: each member starts as soon as its own hold is confirmed.
      {"may_start",
       [](scheduler::hooks& hooks) {
         hooks.may_start = [](const model::placement&,
                              const model::member& member) {
           return member.state != model::task_state::kPending;
         };
       }},
      // 3: an answer to any attempt is accepted.
      {"answers_request",
       [](scheduler::hooks& hooks) {
         hooks.answers_request = [](const auto&) { return true; };
       }},
      // 4: a missing answer is reported as not run.
      {"refusal_state",
       [](scheduler::hooks& hooks) {
         hooks.refusal_state = [](const auto&) {
           return model::run_state::kNotRun;
         };
       }},
      // 5: every entry that receives the request dispatches it.
      {"may_run_once",
       [](scheduler::hooks& hooks) {
         hooks.may_run_once = [](const auto*, const auto&) { return true; };
       }},
      // 6: only the VM list is consulted.
      {"is_leaving",
       [](scheduler::hooks& hooks) {
         hooks.is_leaving = [](const scheduler::leaving_view& view) {
           return view.listed;
         };
       }},
      // 7: a planned stop takes effect at once.
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

scheduler::hooks ApplyNaiveHooks(scheduler::hooks hooks,
                                 const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    const auto found = Replacements().find(name);
    if (found != Replacements().end())
      found->second(hooks);
  }
  return hooks;
}

}  // namespace parsleyhitch::replay
