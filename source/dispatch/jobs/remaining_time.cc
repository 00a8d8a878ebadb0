// A unit lasts as long as the slowest of its tasks.

#include "dispatch/jobs/remaining_time.h"

#include <algorithm>

#include "dispatch/jobs/steps.h"

namespace parsleyhitch::dispatch {

namespace {

// What listings have shown of the unit's current attempt at the task, if
// anything.
const policy::run_progress* ProgressOf(const context& ctx,
                                       const work::task_id& task,
                                       const unit& each) {
  const task_observation* seen = ctx.state.leader.observed.tasks.Find(task);
  const bool same_attempt = seen != nullptr && seen->attempt == each.attempt;
  return same_attempt ? &seen->progress : nullptr;
}

}  // namespace

std::optional<duration> RemainingTime(const context& ctx,
                                      const work::unit_id& id,
                                      const unit& each,
                                      const work::step_spec& step) {
  if (step.endless)
    return {};
  const policy::run_progress unobserved{.started = each.since,
                                        .estimate = step.estimate};
  duration longest{0};
  for (std::uint32_t i = 0; i < each.members.size(); ++i) {
    if (each.members[i].state == member_state::kEnded)
      continue;
    const policy::run_progress* seen = ProgressOf(ctx, TaskOf(id, i), each);
    longest =
        std::max(longest, policy::ExpectedRemaining(
                              seen == nullptr ? unobserved : *seen, ctx.now()));
  }
  return longest;
}

std::optional<duration> ShownRemainingTime(const context& ctx,
                                           const work::unit_id& id,
                                           const unit& each,
                                           const work::step_spec& step) {
  if (step.endless)
    return {};
  duration longest{0};
  for (std::uint32_t i = 0; i < each.members.size(); ++i) {
    if (each.members[i].state == member_state::kEnded)
      continue;
    const policy::run_progress* seen = ProgressOf(ctx, TaskOf(id, i), each);
    if (seen == nullptr)
      return {};
    const auto shown = policy::ShownRemaining(*seen, ctx.now());
    if (!shown)
      return {};
    longest = std::max(longest, *shown);
  }
  return longest;
}

}  // namespace parsleyhitch::dispatch
