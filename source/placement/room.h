// Finds workers for a unit on the board.

#ifndef PARSLEYHITCH_PLACEMENT_ROOM_H_
#define PARSLEYHITCH_PLACEMENT_ROOM_H_

#include <functional>
#include <optional>
#include <vector>

#include "placement/board.h"

namespace parsleyhitch::placement {

// The room that a search may count on for a worker.
using room_of =
    std::function<work::resources(const work::worker_id&, const slot&)>;

// What is free now, and what is free once everything that leaves has left.
work::resources FreeRoom(const work::worker_id& worker, const slot& offered);
work::resources SoonFreeRoom(const work::worker_id& worker,
                             const slot& offered);

// One worker for each member, or nothing when there is no acceptable room.
// Tight places go first, so that whole workers stay free for large tasks.
std::optional<std::vector<work::worker_id>> FindRoom(const board& offered,
                                                     const demand& asked,
                                                     const room_of& room);

// The racks that an acceptable place may lie in, the best ones first; one
// element is one alternative. Without a need for nearness all racks together
// are one alternative.
std::vector<std::vector<work::rack_id>> Alternatives(const board& offered,
                                                     const demand& asked);

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_ROOM_H_
