// Exponential backoff and its jitter.

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

// A pause from the upper half of `longest`, so that callers that failed
// together don't retry together. `random` is any 64-bit number.
inline work::duration WithJitter(work::duration longest, std::uint64_t random) {
  const work::duration least = longest / 2;
  const auto range = static_cast<std::uint64_t>((longest - least).count()) + 1;
  return least + work::duration(random % range);
}

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_BACKOFF_H_
