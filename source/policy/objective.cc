// Steps depend on earlier ones only, so one pass in their order suffices.

#include "policy/objective.h"

#include <algorithm>
#include <cstddef>

namespace parsleyhitch::policy {

std::vector<duration> EarliestStarts(
    const std::vector<work::step_spec>& steps) {
  std::vector<duration> starts(steps.size(), duration(0));
  for (std::size_t i = 0; i < steps.size(); ++i) {
    for (const std::uint32_t earlier : steps[i].after) {
      if (earlier < i)
        starts[i] =
            std::max(starts[i], starts[earlier] + steps[earlier].estimate);
    }
  }
  return starts;
}

duration CriticalPath(const std::vector<work::step_spec>& steps) {
  const std::vector<duration> starts = EarliestStarts(steps);
  duration longest{0};
  for (std::size_t i = 0; i < steps.size(); ++i)
    longest = std::max(longest, starts[i] + steps[i].estimate);
  return longest;
}

duration ObjectiveSlack(const work::submission& content) {
  const std::int64_t beyond =
      std::max<std::int64_t>(0, std::int64_t{content.stretch_permille} - 1000);
  return CriticalPath(content.request.steps) * beyond / 1000 +
         content.target_latency;
}

}  // namespace parsleyhitch::policy
