// Ejection of workers and endpoints that fail repeatedly, with exponential
// back-off.

#ifndef PARSLEYHITCH_SCHEDULER_EJECTION_H_
#define PARSLEYHITCH_SCHEDULER_EJECTION_H_

#include <algorithm>
#include <cstdint>

#include "model/limits.h"

namespace parsleyhitch::scheduler {

// How long a worker or endpoint stays ejected after `failures` consecutive
// failures: zero below `threshold`, `limits.eject_base` at it, and twice as
// long with each further failure, up to `limits.eject_max`.
inline model::duration EjectionDuration(const model::limits& limits,
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
