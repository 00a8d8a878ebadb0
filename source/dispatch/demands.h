// Units that wait, ranked, and units that may be stopped for them.

#ifndef PARSLEYHITCH_DISPATCH_DEMANDS_H_
#define PARSLEYHITCH_DISPATCH_DEMANDS_H_

#include <map>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/hooks.h"
#include "placement/capacity_map.h"
#include "placement/preempt.h"

namespace parsleyhitch::dispatch {

using job_ranks = std::map<work::job_id, rank>;

// How important each job is. One plan uses one ranking.
job_ranks RankJobs(const context& ctx);

// Every unit that may be placed now, in the order of the hooks.
std::vector<waiting_unit> WaitingUnits(const context& ctx,
                                       const job_ranks& ranked);

placement::demand DemandOf(const context& ctx, const waiting_unit& waiting);

// The units that may be stopped for one of the rank.
std::vector<placement::victim> VictimsFor(const context& ctx,
                                          const job_ranks& ranked,
                                          rank importance);

// The free capacity of every worker that takes work.
placement::capacity_map FreeBoard(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_DEMANDS_H_
