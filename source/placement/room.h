// Finds workers with enough free capacity for a unit.

#ifndef PARSLEYHITCH_PLACEMENT_ROOM_H_
#define PARSLEYHITCH_PLACEMENT_ROOM_H_

#include <cstdint>
#include <functional>
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

// The run time of the demand's tasks on the worker, in thousandths of the usual
// one.
using run_time_function =
    std::function<std::uint32_t(const demand&, const worker_capacity&)>;

inline constexpr std::uint32_t kUsualRunTime = 1000;

// All workers are equal.
std::uint32_t UsualRunTime(const demand& wanted, const worker_capacity& slot);

// One worker for each member, or nothing when no acceptable placement fits the
// free capacity. Workers with a shorter run time are filled first, in steps.
// Within a step best fit: those with the least free capacity first, so that
// empty workers remain for large tasks. For a demand that is to finish first
// the steps are finer, and the slowest member decides between racks. Of equally
// fast workers, those with less interference come first, in steps of a tenth;
// an empty function stands for none.
std::optional<std::vector<work::worker_id>> FindPlacement(
    const capacity_map& capacity,
    const demand& wanted,
    const run_time_function& relative_run_time = UsualRunTime,
    const run_time_function& interference = {});

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_ROOM_H_
