// Each factor is a function of its own.

#include "dispatch/planning/run_time.h"

#include <utility>

#include "dispatch/fleet/interference.h"

namespace parsleyhitch::dispatch {

placement::relative_run_time InterferenceFactor(const context& ctx,
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

placement::relative_run_time RunTimeOf(const context& ctx,
                                       const waiting_unit& waiting,
                                       worker_images& found) {
  return InterferenceFactor(ctx, waiting, found);
}

}  // namespace parsleyhitch::dispatch
