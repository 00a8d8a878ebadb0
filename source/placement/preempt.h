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

// Victims by the slots of a board. Those stopped are left out from then on.
class victim_set {
 public:
  // What a victim holds on a slot.
  struct holding {
    std::uint32_t victim = 0;
    work::resources held;
  };

  victim_set(const board& offered, std::vector<victim> victims);

  const victim& Get(std::uint32_t index) const { return victims_[index]; }
  // The slots of a victim, one for each member that stands on the board.
  const std::vector<std::uint32_t>& SlotsOf(std::uint32_t index) const {
    return slots_[index];
  }
  // The cheapest first.
  const std::vector<holding>& On(std::uint32_t slot) const {
    return on_slot_[slot];
  }
  bool IsStopped(std::uint32_t index) const { return stopped_[index]; }
  void NoteStopped(std::uint32_t index) { stopped_[index] = true; }
  // At least the largest room that any slot of the range can be given.
  work::resources MostRoom(const board& offered, const slot_range& range) const;

 private:
  std::vector<victim> victims_;
  std::vector<std::vector<std::uint32_t>> slots_;
  std::vector<std::vector<holding>> on_slot_;
  // All that victims hold on each slot.
  std::vector<work::resources> held_on_slot_;
  std::vector<bool> stopped_;
};

struct preemption {
  // Indexes of the victims.
  std::vector<std::uint32_t> stopped;
  // Where the demand is to go once they have left.
  std::vector<work::worker_id> workers;
};

// The cheapest set of victims found that makes room for the demand, or nothing.
std::optional<preemption> FindVictims(const board& offered,
                                      const demand& asked,
                                      const victim_set& victims);

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_PREEMPT_H_
