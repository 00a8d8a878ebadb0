// Room that running units are expected to leave, and whether a unit that waits
// fits into it.

#ifndef PARSLEYHITCH_PLACEMENT_EXPECTED_ROOM_H_
#define PARSLEYHITCH_PLACEMENT_EXPECTED_ROOM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "placement/capacity_map.h"

namespace parsleyhitch::placement {

// A running unit that is expected to end.
struct ending_unit {
  work::unit_id unit;
  // One entry per member of the unit, so a worker may occur more than once.
  std::vector<work::worker_id> workers;
  // Resources of each member.
  work::resources need;
  work::duration ends_in{0};
};

// Units that are expected to end, indexed by the slots of a capacity map.
class ending_units {
 public:
  // What one unit leaves on one slot.
  struct release {
    work::duration in{0};
    work::resources held;
    std::uint32_t unit = 0;
  };

  ending_units(const capacity_map& capacity, std::vector<ending_unit> units);

  // The releases on the slot, the earliest first.
  const std::vector<release>& ReleasesOn(std::uint32_t slot) const {
    return releases_[slot];
  }
  // Whether the unit is being stopped instead, so that its resources are
  // counted elsewhere.
  bool IsStopped(std::uint32_t unit) const { return stopped_[unit]; }
  void MarkStopped(const work::unit_id& unit);

 private:
  std::vector<std::vector<release>> releases_;
  std::map<work::unit_id, std::uint32_t> index_;
  std::vector<bool> stopped_;
};

struct expected_room {
  // One worker for each member of the demand.
  std::vector<work::worker_id> workers;
  // When all of them have room.
  work::duration wait{0};
};

// Where the demand is expected to fit first without a stop, if it does within
// `longest`. What is being stopped already comes free after `leaving_in`.
std::optional<expected_room> FindExpectedRoom(const capacity_map& capacity,
                                              const demand& wanted,
                                              const ending_units& ending,
                                              work::duration leaving_in,
                                              work::duration longest);

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_EXPECTED_ROOM_H_
