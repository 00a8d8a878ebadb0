// When there will be room near a unit's data, or on one rack, and whether the
// unit waits for it.

#ifndef PARSLEYHITCH_DISPATCH_PLANNING_NEAR_ROOM_H_
#define PARSLEYHITCH_DISPATCH_PLANNING_NEAR_ROOM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/hooks.h"
#include "placement/capacity_map.h"
#include "policy/locality.h"

namespace parsleyhitch::dispatch {

// True if the demand may have to wait for one rack although there is room on
// others.
inline bool IsBoundToRack(const placement::demand& wanted) {
  return wanted.same_rack || !wanted.data_rack.value().empty();
}

struct locality_decision {
  bool runs_elsewhere = false;
  // The expected wait for room near, if there is one.
  std::optional<duration> near_wait;
};

// The decisions of one planning pass.
class near_room {
 public:
  explicit near_room(const context& ctx) : ctx_(ctx) {}

  // True while a unit that may preempt others does so near rather than run
  // elsewhere: what it stops there ends soon.
  bool PreemptsNear(const waiting_unit& waiting) const;

  // Decides for a unit that finds no room near. One that waits is expected to
  // take room that units later in the order then lack.
  locality_decision Decide(const waiting_unit& waiting,
                           const placement::demand& wanted,
                           const placement::capacity_map& capacity);

 private:
  // The rack with the shortest wait.
  struct rack_wait {
    work::rack_id rack;
    duration wait{0};
  };

  std::optional<rack_wait> ShortestWait(
      const placement::demand& wanted,
      const placement::capacity_map& capacity);
  std::optional<duration> WaitOn(const placement::rack_slots& rack,
                                 const placement::demand& wanted,
                                 const placement::capacity_map& capacity);

  const context& ctx_;
  // Tasks that wait for each rack, of the units considered before.
  std::map<work::rack_id, std::uint32_t> awaited_;
  std::uint32_t racks_searched_ = 0;
};

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PLANNING_NEAR_ROOM_H_
