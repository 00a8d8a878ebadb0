// A unit lasts as long as the slowest of its tasks.

#include "dispatch/jobs/remaining_time.h"

#include <algorithm>

#include "dispatch/jobs/steps.h"

namespace parsleyhitch::dispatch {

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
    const task_observation* seen =
        ctx.state.leader.observed.tasks.Find(TaskOf(id, i));
    const bool same_attempt = seen != nullptr && seen->attempt == each.attempt;
    longest = std::max(
        longest, policy::ExpectedRemaining(
                     same_attempt ? seen->progress : unobserved, ctx.now()));
  }
  return longest;
}

}  // namespace parsleyhitch::dispatch
