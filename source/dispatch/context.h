// The context in which the parts of the reducer handle an event: the
// environment, the state, and the effects emitted so far.

#ifndef PARSLEYHITCH_DISPATCH_CONTEXT_H_
#define PARSLEYHITCH_DISPATCH_CONTEXT_H_

#include <string>
#include <utility>
#include <vector>

#include "dispatch/environment.h"
#include "dispatch/state.h"

namespace parsleyhitch::dispatch {

struct context {
  const environment& env;
  dispatch::state& state;
  work::effects& effects;

  const work::limits& limits() const { return env.limits; }
  timestamp now() const { return state.now; }

  template <typename Effect>
  void Emit(Effect effect) const {
    effects.emplace_back(std::move(effect));
  }

  call_number NewCall() const { return ++state.last_call; }

  // splitmix64.
  std::uint64_t Random() const {
    state.random_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state.random_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
  }

  void Log(std::string decision,
           std::string subject,
           std::vector<work::log_field> fields = {}) const {
    Emit(work::write_log{.decision = std::move(decision),
                         .subject = std::move(subject),
                         .fields = std::move(fields)});
  }

  void Warn(std::string decision,
            std::string subject,
            std::vector<work::log_field> fields = {}) const {
    Emit(work::write_log{.level = work::log_level::kWarning,
                         .decision = std::move(decision),
                         .subject = std::move(subject),
                         .fields = std::move(fields)});
  }

  void Count(std::string name, std::uint64_t increment = 1) const {
    Emit(work::count_metric{.name = std::move(name), .increment = increment});
  }
};

inline work::log_field Field(std::string name, std::string value) {
  return {.name = std::move(name), .value = std::move(value)};
}

inline work::log_field Field(std::string name, std::uint64_t value) {
  return {.name = std::move(name), .value = std::to_string(value)};
}

inline work::log_field Field(std::string name, duration value) {
  return {.name = std::move(name) + "_ms",
          .value = std::to_string(value.count())};
}

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_CONTEXT_H_
