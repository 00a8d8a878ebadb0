// Each slot offers a place for one member at each time at which one more fits;
// within a scope the earliest places are taken.

#include "placement/expected_room.h"

#include <algorithm>
#include <utility>

#include "placement/room.h"

namespace parsleyhitch::placement {

namespace {

// Room for one member.
struct place {
  work::duration in{0};
  std::uint32_t slot = 0;

  auto operator<=>(const place&) const = default;
};

// Collects the places of one slot.
class slot_places {
 public:
  slot_places(const demand& wanted,
              const capacity_map& capacity,
              std::uint32_t slot,
              std::vector<place>& found)
      : wanted_(wanted),
        each_(capacity.slots()[slot]),
        slot_(slot),
        free_(each_.free),
        found_(found) {}

  void Release(const work::resources& held, work::duration in) {
    free_ = free_ + held;
    const std::uint32_t fits =
        std::min(CountFits(wanted_, each_, free_), wanted_.members);
    for (; offered_ < fits; ++offered_)
      found_.push_back({.in = in, .slot = slot_});
  }

 private:
  const demand& wanted_;
  const worker_capacity& each_;
  const std::uint32_t slot_;
  work::resources free_;
  std::uint32_t offered_ = 0;
  std::vector<place>& found_;
};

std::vector<place> PlacesIn(const capacity_map& capacity,
                            const demand& wanted,
                            const ending_units& ending,
                            const slot_range& range,
                            work::duration leaving_in,
                            work::duration longest) {
  std::vector<place> found;
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    const worker_capacity& each = capacity.slots()[i];
    if (!IsEligible(wanted, each))
      continue;
    slot_places here(wanted, capacity, i, found);
    here.Release({}, work::duration(0));
    bool has_left = leaving_in > longest;
    for (const ending_units::release& next : ending.ReleasesOn(i)) {
      if (next.in > longest)
        break;
      if (ending.IsStopped(next.unit))
        continue;
      if (!has_left && leaving_in <= next.in) {
        here.Release(each.leaving, leaving_in);
        has_left = true;
      }
      here.Release(next.held, next.in);
    }
    if (!has_left)
      here.Release(each.leaving, leaving_in);
  }
  return found;
}

}  // namespace

ending_units::ending_units(const capacity_map& capacity,
                           std::vector<ending_unit> units)
    : releases_(capacity.slots().size()), stopped_(units.size()) {
  for (std::uint32_t i = 0; i < units.size(); ++i) {
    index_.emplace(units[i].unit, i);
    for (const work::worker_id& worker : units[i].workers) {
      const auto slot = capacity.IndexOf(worker);
      if (slot) {
        releases_[*slot].push_back(
            {.in = units[i].ends_in, .held = units[i].need, .unit = i});
      }
    }
  }
  for (std::vector<release>& here : releases_)
    std::ranges::stable_sort(here, {}, &release::in);
}

void ending_units::MarkStopped(const work::unit_id& unit) {
  const auto found = index_.find(unit);
  if (found != index_.end())
    stopped_[found->second] = true;
}

std::optional<expected_room> FindExpectedRoom(const capacity_map& capacity,
                                              const demand& wanted,
                                              const ending_units& ending,
                                              work::duration leaving_in,
                                              work::duration longest) {
  // Nothing tells when a worker is idle.
  if (wanted.alone)
    return {};
  std::vector<place> best;
  for (const placement_scope& each : ScopesFor(capacity, wanted)) {
    std::vector<place> places =
        PlacesIn(capacity, wanted, ending, each.slots, leaving_in, longest);
    if (places.size() < wanted.members)
      continue;
    const auto end =
        places.begin() + static_cast<std::ptrdiff_t>(wanted.members);
    std::partial_sort(places.begin(), end, places.end());
    places.erase(end, places.end());
    if (best.empty() || places.back().in < best.back().in)
      best = std::move(places);
  }
  if (best.empty())
    return {};
  expected_room room{.wait = best.back().in};
  for (const place& each : best)
    room.workers.push_back(capacity.slots()[each.slot].worker);
  return room;
}

}  // namespace parsleyhitch::placement
