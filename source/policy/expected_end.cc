// Progress is extrapolated linearly between the first and the latest sample.

#include "policy/expected_end.h"

#include <algorithm>

namespace parsleyhitch::policy {

namespace {

// A run that is longer than estimated needs at least this share of its run time
// on top, in thousandths.
constexpr std::int64_t kOverdueShare = 250;

// Percentages are whole numbers: over less progress than this a rate is noise.
constexpr std::uint32_t kLeastProgress = 5;
constexpr std::int64_t kAllPercent = 100;

// An end is listed within this time. A run that is still listed later is slower
// than its samples show.
constexpr duration kEndIsListedWithin{300};

duration RemainingByEstimate(const run_progress& run, timestamp now) {
  const duration ran = now - run.started;
  return std::max(run.estimate - ran, ran * kOverdueShare / 1000);
}

// When the run ends if it goes on as between the two samples.
std::optional<timestamp> ShownEnd(const run_progress& run) {
  const bool shown = run.first && run.latest &&
                     run.latest->percent >= run.first->percent + kLeastProgress;
  if (!shown)
    return {};
  const std::int64_t done =
      std::int64_t{run.latest->percent} - run.first->percent;
  const std::int64_t left =
      std::max<std::int64_t>(kAllPercent - run.latest->percent, 0);
  return run.latest->at + (run.latest->at - run.first->at) * left / done;
}

}  // namespace

run_progress WithSample(run_progress before, const progress_sample& sample) {
  if (!before.first)
    before.first = sample;
  before.latest = sample;
  return before;
}

duration ExpectedRemaining(const run_progress& run, timestamp now) {
  const auto end = ShownEnd(run);
  return end ? std::max(*end - now, duration(0))
             : RemainingByEstimate(run, now);
}

std::optional<duration> ShownRemaining(const run_progress& run, timestamp now) {
  const auto end = ShownEnd(run);
  if (!end || now - *end > kEndIsListedWithin)
    return {};
  return std::max(*end - now, duration(0));
}

}  // namespace parsleyhitch::policy
