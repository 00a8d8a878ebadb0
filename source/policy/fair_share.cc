// The share of an account changes only when one of its own claims is served, so
// a heap of the accounts needs one update for each claim.

#include "policy/fair_share.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <tuple>
#include <utility>

namespace parsleyhitch::policy {

namespace {

// An objective without slack would make every waiting unit overdue.
constexpr duration kLeastSlack{1000};

class progressive_filling {
 public:
  progressive_filling(const std::vector<share_claim>& claims,
                      const share_state& state)
      : claims_(claims), state_(state) {}

  std::vector<std::size_t> Result() {
    std::size_t first = 0;
    while (first < claims_.size()) {
      std::size_t last = first;
      while (last < claims_.size() && claims_[last].rank == claims_[first].rank)
        ++last;
      ServeRank(first, last);
      first = last;
    }
    return std::move(order_);
  }

 private:
  struct account_row {
    work::resources held;
    // Indexes of its claims of the current rank that are not served yet.
    std::deque<std::size_t> waiting;
  };

  // Share, oldest claim and account.
  using heap_item = std::tuple<double, std::size_t, const share_account*>;

  void ServeRank(std::size_t first, std::size_t last) {
    if (claims_[first].rank == kGuaranteedRank) {
      for (std::size_t i = first; i < last; ++i)
        order_.push_back(i);
      return;
    }
    CountHeldUpTo(claims_[first].rank);
    for (std::size_t i = first; i < last; ++i)
      accounts_[claims_[i].account].waiting.push_back(i);
    equal_shares_ = EqualShares();
    ServeOverdue(first, last);
    std::set<heap_item> heap;
    for (const auto& [account, row] : accounts_) {
      if (!row.waiting.empty())
        heap.insert(
            {ComparedShare(account, row), row.waiting.front(), &account});
    }
    while (!heap.empty()) {
      const share_account& next =
          *std::get<const share_account*>(*heap.begin());
      heap.erase(heap.begin());
      account_row& row = accounts_.at(next);
      const std::size_t served = row.waiting.front();
      row.waiting.pop_front();
      Serve(served, row);
      if (!row.waiting.empty())
        heap.insert({ComparedShare(next, row), row.waiting.front(), &next});
    }
  }

  void CountHeldUpTo(std::uint32_t rank) {
    for (auto at = state_.held.upper_bound(counted_rank_);
         at != state_.held.end() && at->first <= rank; ++at) {
      for (const auto& [account, amount] : at->second)
        accounts_[account].held = accounts_[account].held + amount;
    }
    counted_rank_ = std::max(counted_rank_, rank);
  }

  double WeightOf(const share_account& account) const {
    const auto found = state_.weights.find(account.owner);
    return found == state_.weights.end() ? 1.0 : found->second;
  }

  // The share for its weight that each workspace would have if all that hold or
  // wait for some of the service had the same.
  std::map<work::service_id, double> EqualShares() const {
    std::map<work::service_id, double> equal;
    for (const auto& [account, row] : accounts_) {
      if (!row.waiting.empty() || row.held != work::resources())
        equal[account.service] += WeightOf(account);
    }
    for (auto& [service, weights] : equal)
      weights = 1.0 / weights;
    return equal;
  }

  void ServeOverdue(std::size_t first, std::size_t last) {
    std::set<work::service_id> done;
    for (std::size_t i = first; i < last; ++i) {
      const share_claim& claim = claims_[i];
      if (!claim.overdue || done.contains(claim.account.service) ||
          !state_.capacity.contains(claim.account.service))
        continue;
      account_row& row = accounts_.at(claim.account);
      if (ShareOf(claim.account, row) >=
          equal_shares_.at(claim.account.service))
        continue;
      done.insert(claim.account.service);
      std::erase(row.waiting, i);
      Serve(i, row);
    }
  }

  void Serve(std::size_t index, account_row& row) {
    row.held = row.held + claims_[index].need;
    order_.push_back(index);
  }

  double ShareOf(const share_account& account, const account_row& row) const {
    const auto found = state_.capacity.find(account.service);
    return found == state_.capacity.end()
               ? 0.0
               : DominantShare(row.held, found->second) / WeightOf(account);
  }

  // The share as far as it matters for the order.
  double ComparedShare(const share_account& account,
                       const account_row& row) const {
    const double share = ShareOf(account, row);
    return state_.step > 0.0
               ? std::floor(share /
                            (equal_shares_.at(account.service) * state_.step))
               : share;
  }

  const std::vector<share_claim>& claims_;
  const share_state& state_;
  // Of the current rank.
  std::map<work::service_id, double> equal_shares_;
  std::map<share_account, account_row> accounts_;
  // What units of this rank and before it hold is counted.
  std::uint32_t counted_rank_ = kGuaranteedRank;
  std::vector<std::size_t> order_;
};

}  // namespace

double DominantShare(const work::resources& held,
                     const work::resources& capacity) {
  double share = 0.0;
  const auto count = [&](std::int64_t amount, std::int64_t all) {
    if (all > 0)
      share = std::max(share,
                       static_cast<double>(amount) / static_cast<double>(all));
  };
  count(held.cpu_millis, capacity.cpu_millis);
  count(held.memory_mb, capacity.memory_mb);
  count(held.accelerators, capacity.accelerators);
  return share;
}

std::vector<std::size_t> FairOrder(const std::vector<share_claim>& claims,
                                   const share_state& state) {
  return progressive_filling(claims, state).Result();
}

std::map<work::workspace_id, double> WeightsOf(
    const std::map<work::workspace_id, std::int64_t>& guaranteed_accelerators) {
  constexpr double kLeastWeight = 0.25;
  double sum = 0.0;
  for (const auto& [workspace, accelerators] : guaranteed_accelerators)
    sum += static_cast<double>(accelerators);
  std::map<work::workspace_id, double> weights;
  if (sum <= 0.0)
    return weights;
  const double mean = sum / static_cast<double>(guaranteed_accelerators.size());
  for (const auto& [workspace, accelerators] : guaranteed_accelerators) {
    weights[workspace] =
        std::max(static_cast<double>(accelerators) / mean, kLeastWeight);
  }
  return weights;
}

bool IsOverdue(duration waited, duration slack, duration run_time) {
  const duration least_slack = std::max(slack, kLeastSlack);
  duration interval = std::max(least_slack / 4, run_time);
  duration since = waited - least_slack * 3 / 4;
  while (since >= 2 * interval) {
    since -= 2 * interval;
    interval *= 2;
  }
  return since >= duration(0) && since < interval;
}

std::vector<bool> PassesEarlier(const std::vector<std::size_t>& order) {
  std::vector<bool> passes(order.size());
  std::size_t earliest_behind = order.size();
  for (std::size_t i = order.size(); i-- > 0;) {
    passes[i] = earliest_behind < order[i];
    earliest_behind = std::min(earliest_behind, order[i]);
  }
  return passes;
}

}  // namespace parsleyhitch::policy
