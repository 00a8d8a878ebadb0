// Orders the waiting units of workspaces that compete for capacity.

#ifndef PARSLEYHITCH_DISPATCH_PLANNING_SHARES_H_
#define PARSLEYHITCH_DISPATCH_PLANNING_SHARES_H_

#include <cstddef>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/planning/demands.h"

namespace parsleyhitch::dispatch {

// The units in the order in which they are to be placed. They must be sorted by
// the `goes_first` hook, and stay so where their services have room for all of
// them and no more than `start_allowance` tasks wait.
std::vector<waiting_unit> ShareFairly(const context& ctx,
                                      const job_ranks& ranked,
                                      std::vector<waiting_unit> waiting,
                                      std::size_t start_allowance);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PLANNING_SHARES_H_
