// Ranks waiting units and selects the units that may be preempted for them.

#ifndef PARSLEYHITCH_DISPATCH_PLANNING_DEMANDS_H_
#define PARSLEYHITCH_DISPATCH_PLANNING_DEMANDS_H_

#include <map>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/fleet/losses.h"
#include "dispatch/hooks.h"
#include "placement/capacity_map.h"
#include "placement/expected_room.h"
#include "placement/preempt.h"

namespace parsleyhitch::dispatch {

using job_ranks = std::map<work::job_id, rank>;

// The accelerators that each workspace of the catalog in force can claim at any
// time.
std::map<work::workspace_id, std::int64_t> Guarantees(const context& ctx);

// The rank of each job. A planning pass uses one ranking throughout.
job_ranks RankJobs(const context& ctx);

// Every unit that may be placed now, sorted by the `goes_first` hook.
std::vector<waiting_unit> WaitingUnits(const context& ctx,
                                       const job_ranks& ranked);

// The services of which less than half of each resource is in use.
std::set<work::service_id> HalfIdleServices(const context& ctx);

// The time that the objective leaves beyond the estimated run time.
duration SlackOf(const work::submission& content, const work::step_spec& step);

// A unit that needs one rack, or that of its data, does not accept another one
// unless most of its service is idle; `near_room` decides besides.
placement::demand DemandOf(const context& ctx,
                           const waiting_unit& waiting,
                           const std::set<work::service_id>& half_idle);

// The placed units that may be preempted for a unit of the given rank.
std::vector<placement::victim> VictimsFor(const context& ctx,
                                          const job_ranks& ranked,
                                          rank importance);

// What decides how long the unit waits for room.
policy::unit_in_need NeedOfRoom(const context& ctx,
                                const waiting_unit& waiting);

// The placed units whose progress shows that they end within `longest`.
std::vector<placement::ending_unit> EndingUnits(const context& ctx,
                                                duration longest);

// The free capacity of every schedulable worker that is not in quarantine.
placement::capacity_map FreeCapacity(const context& ctx,
                                     const quarantine& kept);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PLANNING_DEMANDS_H_
