// For each alternative, members are given one by one the slot where the next
// one costs least; the cheapest alternative wins. What leaves already is used
// before anything else is stopped.

#include "placement/preempt.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "placement/room.h"

namespace parsleyhitch::placement {

namespace {

constexpr std::uint64_t kNever = std::numeric_limits<std::uint64_t>::max();

// One alternative, member by member.
class trial {
 public:
  trial(const board& offered,
        const demand& asked,
        const victim_set& victims,
        const slot_range& range)
      : offered_(offered), asked_(asked), victims_(victims), range_(range) {
    for (std::uint32_t i = range.first; i < range.last; ++i) {
      const slot& each = offered.slots()[i];
      rooms_.push_back({.left = each.free + each.leaving,
                        .more = Suits(asked, each) ? MoreOn(each) : 0});
    }
    for (std::uint32_t i = range.first; i < range.last; ++i)
      Reprice(i);
  }

  // Gives one more member its cheapest slot; false when there is none, or when
  // the cost would reach `limit`.
  bool PlaceOne(std::uint64_t limit) {
    const auto best = std::ranges::min_element(rooms_, {}, &room::price);
    if (best == rooms_.end() || best->price == kNever ||
        cost_ + best->price >= limit)
      return false;
    Apply(range_.first + static_cast<std::uint32_t>(best - rooms_.begin()));
    return true;
  }

  std::uint64_t cost() const { return cost_; }
  preemption Result() const {
    return {.stopped = {stopped_.begin(), stopped_.end()}, .workers = chosen_};
  }

 private:
  struct room {
    work::resources left;
    // How many members the bound of tasks a worker still allows.
    std::uint32_t more = 0;
    // Of one more member here.
    std::uint64_t price = kNever;
  };

  std::uint32_t MoreOn(const slot& each) const {
    return CountFits(
        asked_, each,
        {.cpu_millis = std::numeric_limits<std::int64_t>::max(),
         .memory_mb = std::numeric_limits<std::int64_t>::max(),
         .accelerators = std::numeric_limits<std::int64_t>::max()});
  }

  room& RoomOn(std::uint32_t slot) { return rooms_[slot - range_.first]; }

  using holdings = std::vector<const victim_set::holding*>;

  // Collects the victims to stop so that a member fits: the cheapest first,
  // less those, the dearest first, without which it fits as well. False when it
  // never fits.
  bool StopsOn(std::uint32_t slot, holdings& stops) {
    stops.clear();
    work::resources left = RoomOn(slot).left;
    for (const victim_set::holding& each : victims_.On(slot)) {
      if (Fits(asked_.need, left))
        break;
      if (victims_.IsStopped(each.victim) || stopped_.contains(each.victim))
        continue;
      left = left + each.held;
      stops.push_back(&each);
    }
    if (!Fits(asked_.need, left))
      return false;
    for (std::size_t i = stops.size(); i-- > 0;) {
      const work::resources without = left - stops[i]->held;
      if (!Fits(asked_.need, without))
        continue;
      left = without;
      stops.erase(stops.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return true;
  }

  void Reprice(std::uint32_t slot) {
    room& here = RoomOn(slot);
    if (here.more == 0 || !StopsOn(slot, scratch_)) {
      here.price = kNever;
      return;
    }
    here.price = 0;
    for (const victim_set::holding* each : scratch_)
      here.price += victims_.Get(each->victim).cost;
  }

  void Apply(std::uint32_t slot) {
    holdings stops;
    StopsOn(slot, stops);
    cost_ += RoomOn(slot).price;
    std::set<std::uint32_t> changed{slot};
    for (const victim_set::holding* each : stops) {
      stopped_.insert(each->victim);
      for (const std::uint32_t freed : victims_.SlotsOf(each->victim)) {
        if (freed < range_.first || freed >= range_.last)
          continue;
        RoomOn(freed).left =
            RoomOn(freed).left + victims_.Get(each->victim).need;
        changed.insert(freed);
      }
    }
    RoomOn(slot).left = RoomOn(slot).left - asked_.need;
    RoomOn(slot).more -= 1;
    chosen_.push_back(offered_.slots()[slot].worker);
    for (const std::uint32_t each : changed)
      Reprice(each);
  }

  const board& offered_;
  const demand& asked_;
  const victim_set& victims_;
  const slot_range range_;
  std::vector<room> rooms_;
  holdings scratch_;
  std::set<std::uint32_t> stopped_;
  std::uint64_t cost_ = 0;
  std::vector<work::worker_id> chosen_;
};

}  // namespace

victim_set::victim_set(const board& offered, std::vector<victim> victims)
    : victims_(std::move(victims)),
      slots_(victims_.size()),
      on_slot_(offered.slots().size()),
      held_on_slot_(offered.slots().size()),
      stopped_(victims_.size()) {
  for (std::uint32_t i = 0; i < victims_.size(); ++i) {
    for (const work::worker_id& worker : victims_[i].workers) {
      const auto slot = offered.IndexOf(worker);
      if (!slot)
        continue;
      slots_[i].push_back(*slot);
      held_on_slot_[*slot] = held_on_slot_[*slot] + victims_[i].need;
      auto& here = on_slot_[*slot];
      if (here.empty() || here.back().victim != i)
        here.push_back({.victim = i});
      here.back().held = here.back().held + victims_[i].need;
    }
  }
  for (std::vector<holding>& here : on_slot_) {
    std::ranges::stable_sort(here, {}, [&](const holding& each) {
      return victims_[each.victim].cost;
    });
  }
}

work::resources victim_set::MostRoom(const board& offered,
                                     const slot_range& range) const {
  work::resources most;
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    const slot& each = offered.slots()[i];
    most = Largest(most, each.free + each.leaving + held_on_slot_[i]);
  }
  return most;
}

std::optional<preemption> FindVictims(const board& offered,
                                      const demand& asked,
                                      const victim_set& victims) {
  std::optional<preemption> best;
  std::uint64_t best_cost = kNever;
  for (const alternative& each : Alternatives(offered, asked)) {
    if (!Fits(asked.need, victims.MostRoom(offered, each.slots)))
      continue;
    trial tried(offered, asked, victims, each.slots);
    std::uint32_t placed = 0;
    while (placed < asked.members && tried.PlaceOne(best_cost))
      ++placed;
    if (placed < asked.members)
      continue;
    best = tried.Result();
    best_cost = tried.cost();
  }
  return best;
}

}  // namespace parsleyhitch::placement
