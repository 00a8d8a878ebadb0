// The top level of the reducer: dispatches an event to its handler, then does
// the work that has become due: planning, request dispatch, log appends and
// shutdown. Also the steps that all handlers share.

#include "scheduler/reduce.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "scheduler/reduce_parts.h"

namespace parsleyhitch::scheduler {

namespace detail {

step Emit(step step, model::effect effect) {
  step.effects.push_back(std::move(effect));
  return step;
}

step Count(step step, std::string metric) {
  return Emit(std::move(step), model::count_metric{.name = std::move(metric)});
}

step Log(step step,
         model::severity level,
         std::string message,
         std::string subject) {
  return Emit(std::move(step),
              model::write_log_line{.level = level,
                                    .message = std::move(message),
                                    .subject = std::move(subject)});
}

step SetTimer(step step, timer timer) {
  step.state.timers.insert(std::move(timer));
  return step;
}

step CancelTimer(step step, const timer& timer) {
  step.state.timers.erase(timer);
  return step;
}

step Answer(step step, model::call_number call, model::answer answer) {
  return Emit(std::move(step),
              model::answer_caller{.call = call, .content = std::move(answer)});
}

// SplitMix64 (Steele, Lea and Flood, 2014), seeded by the start event.
std::uint64_t NextRandom(step& step) {
  constexpr std::uint64_t kIncrement = 0x9E3779B97F4A7C15ULL;
  ++step.state.random_draws;
  std::uint64_t value = step.state.seed + step.state.random_draws * kIncrement;
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31U);
}

namespace {

step RunTimer(const environment& environment, step step, const timer& due) {
  switch (due.kind) {
    case timer_kind::kHeartbeat:
      return SendHeartbeats(environment, std::move(step));
    case timer_kind::kReadVmList:
      return ReadVmList(environment, std::move(step));
    case timer_kind::kReadLog:
      return StartReading(environment, std::move(step));
    case timer_kind::kSyncWorker:
      return SyncIfDue(environment, std::move(step), due);
    case timer_kind::kCallDeadline:
      if (step.state.requests.open.Contains(due.call))
        return OnRequestDeadline(environment, std::move(step), due.call);
      return OnCallDeadline(environment, std::move(step), due.call);
    case timer_kind::kRetryRequest:
      return RetryRequest(environment, std::move(step), due.call);
    case timer_kind::kReadmitEndpoint:
      return RefreshEndpoint(environment, std::move(step), due.worker);
    case timer_kind::kPlan:
      step.state.calls.plan_due = true;
      step.state.calls.plan_timer = model::timestamp();
      return step;
    case timer_kind::kAppend:
    case timer_kind::kDrain:
      return step;
  }
  return step;
}

// Requests a wake-up for the earliest timer, unless it is already requested.
step ScheduleWake(step step) {
  if (step.state.timers.empty())
    return step;
  const model::timestamp earliest = step.state.timers.begin()->at;
  if (step.state.next_wake == earliest)
    return step;
  step.state.next_wake = earliest;
  return Emit(std::move(step), model::wake_at{.at = earliest});
}

}  // namespace

step On(const environment& environment, step step, const model::wake_due&) {
  while (!step.state.timers.empty()) {
    const timer due = *step.state.timers.begin();
    if (due.at > step.state.now)
      break;
    step.state.timers.erase(step.state.timers.begin());
    step = RunTimer(environment, std::move(step), due);
  }
  step.state.next_wake = model::timestamp();
  return step;
}

}  // namespace detail

step Reduce(const environment& environment,
            entry_state state,
            const model::event& event) {
  step next{.state = std::move(state), .effects = {}};
  if (next.state.drain.stopped)
    return next;
  const model::timestamp at =
      std::visit([](const auto& each) { return each.at; }, event);
  next.state.now = std::max(next.state.now, at);
  next = std::visit(
      [&](const auto& each) {
        return detail::On(environment, std::move(next), each);
      },
      event);
  next = detail::PlanIfDue(environment, std::move(next));
  next = detail::DispatchRequests(environment, std::move(next));
  next = detail::AppendIfDue(environment, std::move(next));
  next = detail::StopIfDrained(environment, std::move(next));
  return detail::ScheduleWake(std::move(next));
}

}  // namespace parsleyhitch::scheduler
