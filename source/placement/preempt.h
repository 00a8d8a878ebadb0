// Preemption: chooses running units to stop to make room for a more important
// one.

#ifndef PARSLEYHITCH_PLACEMENT_PREEMPT_H_
#define PARSLEYHITCH_PLACEMENT_PREEMPT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "placement/capacity_map.h"

namespace parsleyhitch::placement {

// A running unit that may be stopped.
struct victim {
  work::unit_id unit;
  // One entry per member of the unit, so a worker may occur more than once.
  std::vector<work::worker_id> workers;
  // Resources of each member.
  work::resources need;
  // Work lost when the unit is stopped, in core-milliseconds.
  std::uint64_t cost = 0;
};

// The victims, indexed by the slots of a capacity map. Victims marked as
// stopped are not chosen again.
class victim_set {
 public:
  // The resources that a victim occupies on one slot.
  struct allocation {
    std::uint32_t victim = 0;
    work::resources held;
  };

  victim_set(const capacity_map& capacity, std::vector<victim> victims);

  const victim& Get(std::uint32_t index) const { return victims_[index]; }
  // The slots of a victim, one for each member whose worker is in the map.
  const std::vector<std::uint32_t>& SlotsOf(std::uint32_t index) const {
    return slots_[index];
  }
  // Victims on the slot, the cheapest first.
  const std::vector<allocation>& AllocationsOn(std::uint32_t slot) const {
    return allocations_[slot];
  }
  bool IsStopped(std::uint32_t index) const { return stopped_[index]; }
  void MarkStopped(std::uint32_t index) { stopped_[index] = true; }
  // Upper bound of what any slot of the range can have free once all its
  // victims were stopped: the largest amount of each resource.
  work::resources MaxFreeWithoutVictims(const capacity_map& capacity,
                                        const slot_range& range) const;

 private:
  std::vector<victim> victims_;
  std::vector<std::vector<std::uint32_t>> slots_;
  std::vector<std::vector<allocation>> allocations_;
  // Sum of the allocations on each slot.
  std::vector<work::resources> held_on_slot_;
  std::vector<bool> stopped_;
};

struct preemption {
  // Indexes of the victims to stop.
  std::vector<std::uint32_t> stopped;
  // One worker for each member of the demand, usable once the victims have
  // ended.
  std::vector<work::worker_id> workers;
};

// The cheapest set of victims found that makes room for the demand, or nothing
// when none was found. The search is greedy: a cheaper set may exist.
std::optional<preemption> FindVictims(const capacity_map& capacity,
                                      const demand& wanted,
                                      const victim_set& victims);

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_PREEMPT_H_
