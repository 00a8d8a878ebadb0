// Finds workers with enough free capacity for a unit.

#ifndef PARSLEYHITCH_PLACEMENT_ROOM_H_
#define PARSLEYHITCH_PLACEMENT_ROOM_H_

#include <optional>
#include <vector>

#include "placement/capacity_map.h"

namespace parsleyhitch::placement {

// Slots among which a unit may be placed. Invariant: all are on one rack when
// `is_one_rack`; that rack is the data's when `is_at_data`.
struct placement_scope {
  slot_range slots;
  bool is_one_rack = false;
  bool is_at_data = false;
};

// The scopes in which an acceptable placement may be found, the best first.
// Without rack requirements all racks together form a single scope.
std::vector<placement_scope> ScopesFor(const capacity_map& capacity,
                                       const demand& wanted);

// One worker for each member, or nothing when no acceptable placement fits the
// free capacity. Best fit: workers with the least free capacity are filled
// first, so that empty workers remain for large tasks. Workers on which the
// tasks run in less time, in steps of a tenth of the usual time, are used
// before tighter ones.
std::optional<std::vector<work::worker_id>> FindPlacement(
    const capacity_map& capacity,
    const demand& wanted,
    const relative_run_time& run_time = {});

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_ROOM_H_
