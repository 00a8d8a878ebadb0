// Chooses the free capacity that is kept for a unit until all of it fits.

#ifndef PARSLEYHITCH_PLACEMENT_HELD_ROOM_H_
#define PARSLEYHITCH_PLACEMENT_HELD_ROOM_H_

#include <functional>
#include <vector>

#include "placement/capacity_map.h"

namespace parsleyhitch::placement {

// Free capacity on a worker, at most what one member needs.
struct held_part {
  work::worker_id worker;
  work::resources amount;

  bool operator==(const held_part&) const = default;
};

// At most one part for each member: first for the members that fit now, then
// for the others on the workers that lack the least. All parts are in the scope
// where most members fit, among those that have room for the unit when nothing
// else runs there; empty when there is none. `capacity_of` returns what a
// worker has in all.
std::vector<held_part> FindHeldRoom(
    const capacity_map& capacity,
    const demand& wanted,
    const std::function<work::resources(const work::worker_id&)>& capacity_of);

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_HELD_ROOM_H_
