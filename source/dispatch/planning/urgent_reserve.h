// Room that lower units leave free for urgent ones that are about to arrive.

#ifndef PARSLEYHITCH_DISPATCH_PLANNING_URGENT_RESERVE_H_
#define PARSLEYHITCH_DISPATCH_PLANNING_URGENT_RESERVE_H_

#include <map>
#include <set>

#include "dispatch/context.h"
#include "placement/capacity_map.h"

namespace parsleyhitch::dispatch {

// Units of a step of the job have become ready.
void NoteReadyUnits(const context& ctx,
                    const active_job& job,
                    const work::step_spec& step);

// A unit of the service was preempted.
void NotePreemption(const context& ctx, const work::service_id& service);

// The reserves of one planning pass.
class urgent_reserve {
 public:
  // `half_idle`: services without a reserve.
  urgent_reserve(const context& ctx,
                 const placement::capacity_map& capacity,
                 const std::set<work::service_id>& half_idle)
      : ctx_(ctx), capacity_(capacity), half_idle_(half_idle) {}

  // True when a unit for which there is room leaves it free. The pass then
  // treats the room as taken, so that only as many units are held back as would
  // have started. False when the unit is to start; its need is counted.
  bool HoldsBack(const waiting_unit& waiting, const placement::demand& demand);

  // Stores the reserves, and which units have been held back and still wait.
  void Finish();

 private:
  struct service_reserve {
    work::resources kept;
    // Free in all, less what has started in this pass.
    work::resources free;
  };

  service_reserve& ReserveOf(const work::service_id& service);

  const context& ctx_;
  const placement::capacity_map& capacity_;
  const std::set<work::service_id>& half_idle_;
  std::map<work::service_id, service_reserve> reserves_;
};

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PLANNING_URGENT_RESERVE_H_
