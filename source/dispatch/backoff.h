// Pauses that double with each repeat.

#ifndef PARSLEYHITCH_DISPATCH_BACKOFF_H_
#define PARSLEYHITCH_DISPATCH_BACKOFF_H_

#include <algorithm>
#include <cstdint>

#include "work/job.h"

namespace parsleyhitch::dispatch {

// `base` doubled so many times, at most `longest`.
inline work::duration DoubledPause(work::duration base,
                                   work::duration longest,
                                   std::uint32_t doublings) {
  // Far beyond any limit; keeps the shift within its type.
  constexpr std::uint32_t kMostDoublings = 10;
  return std::min(base * (1 << std::min(doublings, kMostDoublings)), longest);
}

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_BACKOFF_H_
