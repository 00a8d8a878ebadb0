// How long a running task is expected to need still: from the progress that
// listings have shown, and from the caller's estimate until they have.

#ifndef PARSLEYHITCH_POLICY_EXPECTED_END_H_
#define PARSLEYHITCH_POLICY_EXPECTED_END_H_

#include <cstdint>
#include <optional>

#include "model/time.h"

namespace parsleyhitch::policy {

using model::duration;
using model::timestamp;

// The completed share of a task's work at a time.
struct progress_sample {
  timestamp at;
  std::uint32_t percent = 0;

  bool operator==(const progress_sample&) const = default;
};

// Invariant: `latest` is not earlier than `first`.
struct run_progress {
  timestamp started;
  // By the caller; often far off.
  duration estimate{0};
  std::optional<progress_sample> first;
  std::optional<progress_sample> latest;

  bool operator==(const run_progress&) const = default;
};

// The sample added as the latest one.
run_progress WithSample(run_progress before, const progress_sample& sample);

duration ExpectedRemaining(const run_progress& run, timestamp now);

// The same as far as progress shows it: nothing before two samples do, nor for
// a run that has outlasted what they show.
std::optional<duration> ShownRemaining(const run_progress& run, timestamp now);

}  // namespace parsleyhitch::policy

#endif  // PARSLEYHITCH_POLICY_EXPECTED_END_H_
