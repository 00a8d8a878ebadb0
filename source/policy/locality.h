// Whether a unit waits for room near its data, or for one rack, or runs now
// where it takes several times as long. Decided by when it is expected to end.

#ifndef PARSLEYHITCH_POLICY_LOCALITY_H_
#define PARSLEYHITCH_POLICY_LOCALITY_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "model/time.h"
#include "work/resources.h"

namespace parsleyhitch::policy {

using model::duration;

// Resources that are expected to become free.
struct coming_room {
  duration in{0};
  work::resources amount;

  bool operator==(const coming_room&) const = default;
};

// The room of one worker, now and later.
struct room_forecast {
  work::resources free;
  std::vector<coming_room> coming;

  bool operator==(const room_forecast&) const = default;
};

// When the workers are expected to have room for so many tasks at once; empty
// if never, as far as is known.
std::optional<duration> ExpectedWait(const std::vector<room_forecast>& workers,
                                     const work::resources& need,
                                     std::uint32_t tasks);

struct locality_question {
  // Until there is room near; empty if none is expected.
  std::optional<duration> wait;
  // How long it has waited so far.
  duration waited{0};
  // Estimated run time near, and how many thousandths of it elsewhere.
  duration run_time{0};
  std::uint32_t remote_permille = 1000;
  // What the objective leaves beyond the run time, from now on; negative once
  // it is missed.
  duration slack{0};
  // For a guaranteed unit: the time within which it must begin.
  std::optional<duration> begins_within;

  bool operator==(const locality_question&) const = default;
};

enum class locality : std::uint8_t { kWaits, kRunsElsewhere };

locality ChooseLocality(const locality_question& question);

}  // namespace parsleyhitch::policy

#endif  // PARSLEYHITCH_POLICY_LOCALITY_H_
