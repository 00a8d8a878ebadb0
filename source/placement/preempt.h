// Chooses running units to stop, so that a more important one gets room.

#ifndef PARSLEYHITCH_PLACEMENT_PREEMPT_H_
#define PARSLEYHITCH_PLACEMENT_PREEMPT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "placement/board.h"

namespace parsleyhitch::placement {

// A running unit that may be stopped.
struct victim {
  work::unit_id unit;
  // What it holds on each of its workers; a worker may stand here twice.
  std::vector<work::worker_id> workers;
  work::resources need;
  // Work thrown away by a stop, in core-milliseconds.
  std::uint64_t cost = 0;
};

struct preemption {
  std::vector<work::unit_id> stopped;
  // Where the demand is to go once they have left.
  std::vector<work::worker_id> workers;
};

// The cheapest set of victims found that makes room for the demand, or nothing.
std::optional<preemption> FindVictims(const board& offered,
                                      const demand& asked,
                                      const std::vector<victim>& victims);

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_PREEMPT_H_
