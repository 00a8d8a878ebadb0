// The order in which workspaces that compete for a service's capacity are
// served: dominant resource fairness by progressive filling, within each rank.

#ifndef PARSLEYHITCH_POLICY_FAIR_SHARE_H_
#define PARSLEYHITCH_POLICY_FAIR_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "work/job.h"
#include "work/resources.h"

namespace parsleyhitch::policy {

using work::duration;

// What one workspace has of one service. Services are shared separately, as a
// job can run on its own service only.
struct share_account {
  work::service_id service;
  work::workspace_id owner;

  auto operator<=>(const share_account&) const = default;
};

// Units of this rank are within the guarantee of their workspace: they keep the
// order of their submission, and what they hold counts towards no share.
inline constexpr std::uint32_t kGuaranteedRank = 0;

// A unit that waits to be placed.
struct share_claim {
  // Lower ranks are served first.
  std::uint32_t rank = 0;
  share_account account;
  // Of all members together.
  work::resources need;
  // Its objective is nearly lost; see `IsOverdue`.
  bool overdue = false;

  bool operator==(const share_claim&) const = default;
};

struct share_state {
  // Of the services whose capacity does not suffice for all. Claims on other
  // services keep the order of their submission.
  std::map<work::service_id, work::resources> capacity;
  // What placed units hold, by their rank.
  std::map<std::uint32_t, std::map<share_account, work::resources>> held;
  // Parts of the capacity are in proportion to these; 1 for a workspace that is
  // not named.
  std::map<work::workspace_id, double> weights;
  // Shares are compared in steps of so many parts, within which the order is
  // that of submission; with 0 each difference counts.
  double step = 0.0;

  bool operator==(const share_state&) const = default;
};

// The largest fraction of any resource of the capacity.
double DominantShare(const work::resources& held,
                     const work::resources& capacity);

// Indexes of the claims in the order in which they are to be served. The claims
// must be sorted by rank, and within a rank by submission. Within a rank, the
// account with the smallest dominant share for its weight is next, and its
// oldest claim counts as held from then on. Units of lower ranks do not count,
// as they were placed only where no unit of this rank wanted the capacity. One
// overdue claim for each service goes before the others of its rank, provided
// that its workspace holds less than its part of the service. Takes O(n log n)
// for n claims.
std::vector<std::size_t> FairOrder(const std::vector<share_claim>& claims,
                                   const share_state& state);

// The weights of workspaces that were sold so many accelerators each: relative
// to the mean, and at least a quarter of it, so that a workspace without a
// guarantee is served too. Empty if none has a guarantee.
std::map<work::workspace_id, double> WeightsOf(
    const std::map<work::workspace_id, std::int64_t>& guaranteed_accelerators);

// True when a unit that has waited so long is to go before others and to have
// room kept for it: from the last quarter of its slack on, for the rest of the
// slack or its estimated run time, whichever is longer. If it was not placed
// then, a pause as long as that follows, and the next interval and its pause
// are twice as long. So any unit that fits its service is placed in the end,
// and the capacity that is kept may stay idle for at most half of the time.
bool IsOverdue(duration waited, duration slack, duration run_time);

// For each unit, whether one with a lower index comes after it in the order.
// The result is indexed by position in the order.
std::vector<bool> PassesEarlier(const std::vector<std::size_t>& order);

}  // namespace parsleyhitch::policy

#endif  // PARSLEYHITCH_POLICY_FAIR_SHARE_H_
