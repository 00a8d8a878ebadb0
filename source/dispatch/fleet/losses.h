// Workers that are kept for tasks that are suspected of crashing them.

#ifndef PARSLEYHITCH_DISPATCH_FLEET_LOSSES_H_
#define PARSLEYHITCH_DISPATCH_FLEET_LOSSES_H_

#include <cstddef>
#include <map>
#include <set>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

struct quarantine {
  // Workers that get no other tasks now.
  std::set<work::worker_id> workers;
  // How many more may be kept so, by service.
  std::map<work::service_id, std::size_t> left;
};

// How many attempts of the unit were lost in this way, as far as they count.
std::uint32_t LossesOf(const unit& each, loss_kind kind);

// True when the unit is to have its workers for itself until it has outlived
// its start there.
bool IsSuspect(const unit& each);

// The workers on which suspects have been started and not been cleared. Their
// number is limited, as is the time that it takes to clear a suspect.
quarantine QuarantineOf(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_FLEET_LOSSES_H_
