// Finds workers for a unit on the board.

#ifndef PARSLEYHITCH_PLACEMENT_ROOM_H_
#define PARSLEYHITCH_PLACEMENT_ROOM_H_

#include <optional>
#include <vector>

#include "placement/board.h"

namespace parsleyhitch::placement {

// Slots that an acceptable place may lie in. Invariant: all are on one rack
// when `is_one_rack`, which is the data's when `is_at_data`.
struct alternative {
  slot_range slots;
  bool is_one_rack = false;
  bool is_at_data = false;
};

// Where an acceptable place may lie, the best first. Without a need for
// nearness all racks together are one alternative.
std::vector<alternative> Alternatives(const board& offered,
                                      const demand& asked);

// One worker for each member, or nothing when there is no acceptable room.
// Tight places go first, so that whole workers stay free for large tasks.
std::optional<std::vector<work::worker_id>> FindRoom(const board& offered,
                                                     const demand& asked);

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_ROOM_H_
