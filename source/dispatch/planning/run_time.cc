// Factors that lengthen or shorten run times are multiplied here.

#include "dispatch/planning/run_time.h"

namespace parsleyhitch::dispatch {

placement::run_time_function RelativeRunTime(const context& ctx) {
  return [&factor = ctx.env.behaviour.relative_run_time](
             const placement::demand& wanted,
             const placement::worker_capacity& slot) {
    const std::uint64_t by_speed = slot.run_time_permille;
    return static_cast<std::uint32_t>(by_speed * factor(wanted, slot) /
                                      placement::kUsualRunTime);
  };
}

}  // namespace parsleyhitch::dispatch
