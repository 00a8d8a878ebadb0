// Exponential backoff, its jitter, and random pauses.

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

// A pause of at most `longest`. `random` is any 64-bit number.
inline work::duration RandomUpTo(work::duration longest, std::uint64_t random) {
  return work::duration(random %
                        (static_cast<std::uint64_t>(longest.count()) + 1));
}

// A pause from the upper half of `longest`, so that callers that failed
// together don't retry together. `random` as above.
inline work::duration WithJitter(work::duration longest, std::uint64_t random) {
  const work::duration least = longest / 2;
  return least + RandomUpTo(longest - least, random);
}

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_BACKOFF_H_
