// Exponential backoff.

#ifndef PARSLEYHITCH_DISPATCH_BACKOFF_H_
#define PARSLEYHITCH_DISPATCH_BACKOFF_H_

#include <algorithm>
#include <cstdint>

#include "work/job.h"

namespace parsleyhitch::dispatch {

// `base` doubled `doublings` times, but at most `longest`.
inline work::duration ExponentialBackoff(work::duration base,
                                         work::duration longest,
                                         std::uint32_t doublings) {
  // Keeps the shift within its type; larger than any configured limit needs.
  constexpr std::uint32_t kMaxDoublings = 10;
  return std::min(base * (1 << std::min(doublings, kMaxDoublings)), longest);
}

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_BACKOFF_H_
