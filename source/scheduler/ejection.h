// Holding back workers and endpoints that fail, for longer each time.

#ifndef PARSLEYHITCH_SCHEDULER_EJECTION_H_
#define PARSLEYHITCH_SCHEDULER_EJECTION_H_

#include <algorithm>
#include <cstdint>

#include "model/limits.h"

namespace parsleyhitch::scheduler {

// The hold after so many failures in a row; zero below `threshold`. It doubles
// with each failure beyond.
inline model::duration EjectionHold(const model::limits& limits,
                                    std::uint32_t failures,
                                    std::uint32_t threshold) {
  constexpr std::uint32_t kMaxDoublings = 16;
  if (failures < threshold)
    return model::duration::zero();
  const std::uint32_t doublings = std::min(failures - threshold, kMaxDoublings);
  return std::min(limits.eject_base * (1U << doublings), limits.eject_max);
}

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_EJECTION_H_
