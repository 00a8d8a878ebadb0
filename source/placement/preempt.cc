// Greedy search: within each placement scope the members are assigned one by
// one to the slot where the next member costs least; the cheapest scope wins.
// Capacity that is already being freed is used before further units are
// stopped. A gang counts for a slot with its share, as its stop makes room for
// several members of the demand; scopes are compared by the full costs.

#include "placement/preempt.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "placement/room.h"

namespace parsleyhitch::placement {

namespace {

constexpr std::uint64_t kImpossible = std::numeric_limits<std::uint64_t>::max();

// What a gang counts in the choice of the next slot.
enum class gang_cost : std::uint8_t { kFull, kPerMember };

// The search within one placement scope.
class preemption_search {
 public:
  preemption_search(const capacity_map& capacity,
                    const demand& wanted,
                    const victim_set& victims,
                    const slot_range& range,
                    gang_cost counts)
      : capacity_(capacity),
        wanted_(wanted),
        victims_(victims),
        range_(range),
        counts_(counts) {
    for (std::uint32_t i = range.first; i < range.last; ++i) {
      const worker_capacity& each = capacity.slots()[i];
      states_.push_back(
          {.free = each.free + each.leaving,
           .allowed = IsEligible(wanted, each) ? CountAllowed(each) : 0});
    }
    for (std::uint32_t i = range.first; i < range.last; ++i)
      UpdateCost(i);
  }

  // Assigns the next member to its cheapest slot. False when no slot fits, or
  // when the total cost reaches `limit`.
  bool PlaceOne(std::uint64_t limit) {
    const auto best =
        std::ranges::min_element(states_, {}, &slot_state::next_cost);
    if (best == states_.end() || best->next_cost == kImpossible)
      return false;
    PlaceOn(range_.first + static_cast<std::uint32_t>(best - states_.begin()));
    return cost_ < limit;
  }

  std::uint64_t cost() const { return cost_; }
  preemption Result() const {
    return {.stopped = {stopped_.begin(), stopped_.end()}, .workers = chosen_};
  }

 private:
  struct slot_state {
    work::resources free;
    // Number of members that `max_per_worker` still permits.
    std::uint32_t allowed = 0;
    // Cost of placing one more member here.
    std::uint64_t next_cost = kImpossible;
  };

  std::uint32_t CountAllowed(const worker_capacity& each) const {
    return CountFits(
        wanted_, each,
        {.cpu_millis = std::numeric_limits<std::int64_t>::max(),
         .memory_mb = std::numeric_limits<std::int64_t>::max(),
         .accelerators = std::numeric_limits<std::int64_t>::max()});
  }

  slot_state& StateOf(std::uint32_t slot) {
    return states_[slot - range_.first];
  }

  using allocations = std::vector<const victim_set::allocation*>;

  // What the victim counts in the choice of a slot.
  std::uint64_t CountedCost(std::uint32_t victim) const {
    const std::uint64_t cost = victims_.Get(victim).cost;
    if (counts_ == gang_cost::kFull)
      return cost;
    const std::size_t slots = victims_.SlotsOf(victim).size();
    return cost / std::clamp<std::uint64_t>(slots, 1, wanted_.members);
  }

  std::uint64_t CountedCost(const allocations& to_stop) const {
    std::uint64_t sum = 0;
    for (const victim_set::allocation* each : to_stop)
      sum += CountedCost(each->victim);
    return sum;
  }

  bool IsRunning(std::uint32_t victim) const {
    return !victims_.IsStopped(victim) && !stopped_.contains(victim);
  }

  // Replaces the victims by a single one that makes enough room and counts no
  // more than all of them.
  void PreferSingleVictim(std::uint32_t slot, allocations& to_stop) const {
    if (to_stop.empty())
      return;
    const work::resources free = states_[slot - range_.first].free;
    const victim_set::allocation* single = nullptr;
    std::uint64_t limit = CountedCost(to_stop);
    for (const victim_set::allocation& each : victims_.AllocationsOn(slot)) {
      const std::uint64_t counted = CountedCost(each.victim);
      if (counted > limit || !Fits(wanted_.need, free + each.held) ||
          !IsRunning(each.victim))
        continue;
      single = &each;
      limit = counted;
    }
    if (single != nullptr)
      to_stop.assign(1, single);
  }

  // Collects the victims to stop so that one more member fits: adds the
  // cheapest first until it fits, then drops those it fits without, the most
  // expensive first. False when it does not fit even without any of the
  // victims.
  bool FindVictimsOn(std::uint32_t slot, allocations& to_stop) {
    to_stop.clear();
    work::resources free = StateOf(slot).free;
    for (const victim_set::allocation& each : victims_.AllocationsOn(slot)) {
      if (Fits(wanted_.need, free))
        break;
      if (!IsRunning(each.victim))
        continue;
      free = free + each.held;
      to_stop.push_back(&each);
    }
    if (!Fits(wanted_.need, free))
      return false;
    for (std::size_t i = to_stop.size(); i-- > 0;) {
      const work::resources without = free - to_stop[i]->held;
      if (!Fits(wanted_.need, without))
        continue;
      free = without;
      to_stop.erase(to_stop.begin() + static_cast<std::ptrdiff_t>(i));
    }
    PreferSingleVictim(slot, to_stop);
    return true;
  }

  void UpdateCost(std::uint32_t slot) {
    slot_state& here = StateOf(slot);
    if (here.allowed == 0 || !FindVictimsOn(slot, scratch_)) {
      here.next_cost = kImpossible;
      return;
    }
    here.next_cost = CountedCost(scratch_);
  }

  void PlaceOn(std::uint32_t slot) {
    allocations to_stop;
    FindVictimsOn(slot, to_stop);
    std::set<std::uint32_t> changed{slot};
    for (const victim_set::allocation* each : to_stop) {
      stopped_.insert(each->victim);
      cost_ += victims_.Get(each->victim).cost;
      for (const std::uint32_t freed : victims_.SlotsOf(each->victim)) {
        if (freed < range_.first || freed >= range_.last)
          continue;
        StateOf(freed).free =
            StateOf(freed).free + victims_.Get(each->victim).need;
        changed.insert(freed);
      }
    }
    StateOf(slot).free = StateOf(slot).free - wanted_.need;
    StateOf(slot).allowed -= 1;
    chosen_.push_back(capacity_.slots()[slot].worker);
    for (const std::uint32_t each : changed)
      UpdateCost(each);
  }

  const capacity_map& capacity_;
  const demand& wanted_;
  const victim_set& victims_;
  const slot_range range_;
  const gang_cost counts_;
  std::vector<slot_state> states_;
  allocations scratch_;
  std::set<std::uint32_t> stopped_;
  std::uint64_t cost_ = 0;
  std::vector<work::worker_id> chosen_;
};

}  // namespace

victim_set::victim_set(const capacity_map& capacity,
                       std::vector<victim> victims)
    : victims_(std::move(victims)),
      slots_(victims_.size()),
      allocations_(capacity.slots().size()),
      held_on_slot_(capacity.slots().size()),
      stopped_(victims_.size()) {
  for (std::uint32_t i = 0; i < victims_.size(); ++i) {
    for (const work::worker_id& worker : victims_[i].workers) {
      const auto slot = capacity.IndexOf(worker);
      if (!slot)
        continue;
      slots_[i].push_back(*slot);
      held_on_slot_[*slot] = held_on_slot_[*slot] + victims_[i].need;
      auto& here = allocations_[*slot];
      if (here.empty() || here.back().victim != i)
        here.push_back({.victim = i});
      here.back().held = here.back().held + victims_[i].need;
    }
  }
  for (std::vector<allocation>& here : allocations_) {
    std::ranges::stable_sort(here, {}, [&](const allocation& each) {
      return victims_[each.victim].cost;
    });
  }
}

work::resources victim_set::MaxFreeWithoutVictims(
    const capacity_map& capacity,
    const slot_range& range) const {
  work::resources max;
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    const worker_capacity& each = capacity.slots()[i];
    max = ElementwiseMax(max, each.free + each.leaving + held_on_slot_[i]);
  }
  return max;
}

std::optional<preemption> FindVictims(const capacity_map& capacity,
                                      const demand& wanted,
                                      const victim_set& victims) {
  std::optional<preemption> best;
  slot_range best_range;
  std::uint64_t best_cost = kImpossible;
  const auto search_in = [&](const slot_range& range, gang_cost counts) {
    preemption_search search(capacity, wanted, victims, range, counts);
    std::uint32_t placed = 0;
    while (placed < wanted.members && search.PlaceOne(best_cost))
      ++placed;
    if (placed < wanted.members)
      return;
    best = search.Result();
    best_range = range;
    best_cost = search.cost();
  };
  for (const placement_scope& each : ScopesFor(capacity, wanted)) {
    if (Fits(wanted.need, victims.MaxFreeWithoutVictims(capacity, each.slots)))
      search_in(each.slots, gang_cost::kPerMember);
    if (best_cost == 0)
      return best;
  }
  if (best && wanted.members > 1)
    search_in(best_range, gang_cost::kFull);
  return best;
}

}  // namespace parsleyhitch::placement
