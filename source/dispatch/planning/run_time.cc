// Each factor is a function of its own.

#include "dispatch/planning/run_time.h"

#include <utility>

#include "dispatch/fleet/interference.h"

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

placement::run_time_function InterferenceFactor(const context& ctx,
                                                const waiting_unit& waiting,
                                                worker_images& found) {
  const std::uint64_t weight = ctx.limits().interference_weight_permille;
  const policy::interference& learned = ctx.state.leader.observed.interference;
  if (weight == 0 || learned.known.empty())
    return {};
  std::string image =
      ImageOf(*ctx.state.leader.jobs.Find(waiting.unit.job), waiting.unit.step);
  if (!policy::HasKnownPair(learned, image))
    return {};
  return [&ctx, &learned, &found, weight, image = std::move(image)](
             const placement::demand&, const placement::worker_capacity& slot) {
    const auto [at, missing] = found.try_emplace(slot.worker);
    if (missing)
      at->second = ImagesOn(ctx, slot.worker);
    const std::uint64_t beyond =
        policy::CostBeside(learned, image, at->second) - 1000;
    return static_cast<std::uint32_t>(1000 + beyond * weight / 1000);
  };
}

}  // namespace parsleyhitch::dispatch
