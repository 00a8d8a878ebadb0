// For each alternative, members are given one by one the worker where the next
// one costs least; the cheapest alternative wins. What leaves already is used
// before anything else is stopped.

#include "placement/preempt.h"

#include <algorithm>
#include <set>

#include "placement/room.h"

namespace parsleyhitch::placement {

namespace {

// What one alternative costs so far.
struct trial {
  std::map<work::worker_id, work::resources> room;
  std::map<work::worker_id, std::uint32_t> taken;
  std::set<std::size_t> stopped;
  std::uint64_t cost = 0;
  std::vector<work::worker_id> workers;
};

using victims_by_worker = std::map<work::worker_id, std::vector<std::size_t>>;

victims_by_worker IndexVictims(const std::vector<victim>& victims) {
  victims_by_worker index;
  for (std::size_t i = 0; i < victims.size(); ++i) {
    for (const work::worker_id& worker : victims[i].workers) {
      std::vector<std::size_t>& at = index[worker];
      if (at.empty() || at.back() != i)
        at.push_back(i);
    }
  }
  for (auto& [worker, at] : index) {
    std::ranges::stable_sort(at, [&](std::size_t a, std::size_t b) {
      return victims[a].cost < victims[b].cost;
    });
  }
  return index;
}

work::resources HeldOn(const victim& each, const work::worker_id& worker) {
  work::resources held;
  for (const work::worker_id& at : each.workers) {
    if (at == worker)
      held = held + each.need;
  }
  return held;
}

// The victims, cheapest first, whose stop lets one more member fit.
struct price {
  std::vector<std::size_t> stops;
  std::uint64_t cost = 0;
};

std::optional<price> PriceOn(const demand& asked,
                             const work::worker_id& worker,
                             const trial& so_far,
                             const std::vector<victim>& victims,
                             const std::vector<std::size_t>& here) {
  work::resources room = so_far.room.at(worker);
  price found;
  for (const std::size_t index : here) {
    if (Fits(asked.need, room))
      break;
    if (so_far.stopped.contains(index))
      continue;
    room = room + HeldOn(victims[index], worker);
    found.stops.push_back(index);
    found.cost += victims[index].cost;
  }
  if (!Fits(asked.need, room))
    return {};
  return found;
}

void Apply(trial& so_far,
           const demand& asked,
           const work::worker_id& worker,
           const price& chosen,
           const std::vector<victim>& victims) {
  for (const std::size_t index : chosen.stops) {
    so_far.stopped.insert(index);
    for (const work::worker_id& freed : victims[index].workers) {
      const auto found = so_far.room.find(freed);
      if (found != so_far.room.end())
        found->second = found->second + victims[index].need;
    }
  }
  so_far.cost += chosen.cost;
  so_far.room.at(worker) = so_far.room.at(worker) - asked.need;
  so_far.taken[worker] += 1;
  so_far.workers.push_back(worker);
}

bool MayTakeMore(const demand& asked,
                 const work::worker_id& worker,
                 const trial& so_far) {
  if (asked.max_per_worker == 0)
    return true;
  const auto siblings = asked.siblings.find(worker);
  const auto taken = so_far.taken.find(worker);
  const std::uint32_t has =
      (siblings == asked.siblings.end() ? 0 : siblings->second) +
      (taken == so_far.taken.end() ? 0 : taken->second);
  return has < asked.max_per_worker;
}

// Gives one more member its cheapest worker; false when there is none.
bool PlaceOne(trial& so_far,
              const demand& asked,
              const std::vector<victim>& victims,
              const victims_by_worker& index) {
  static const std::vector<std::size_t> none;
  std::optional<price> best;
  work::worker_id best_worker;
  for (const auto& [worker, room] : so_far.room) {
    if (!MayTakeMore(asked, worker, so_far))
      continue;
    const auto here = index.find(worker);
    const std::optional<price> found =
        PriceOn(asked, worker, so_far, victims,
                here == index.end() ? none : here->second);
    if (!found || (best && found->cost >= best->cost))
      continue;
    best = found;
    best_worker = worker;
  }
  if (!best)
    return false;
  Apply(so_far, asked, best_worker, *best, victims);
  return true;
}

std::optional<trial> TryRacks(const board& offered,
                              const demand& asked,
                              const std::vector<work::rack_id>& racks,
                              const std::vector<victim>& victims,
                              const victims_by_worker& index) {
  trial so_far;
  for (const auto& [worker, each] : offered.slots) {
    if (Suits(asked, worker, each) &&
        std::ranges::find(racks, each.rack) != racks.end())
      so_far.room[worker] = SoonFreeRoom(worker, each);
  }
  for (std::uint32_t i = 0; i < asked.members; ++i) {
    if (!PlaceOne(so_far, asked, victims, index))
      return {};
  }
  return so_far;
}

}  // namespace

std::optional<preemption> FindVictims(const board& offered,
                                      const demand& asked,
                                      const std::vector<victim>& victims) {
  const victims_by_worker index = IndexVictims(victims);
  std::optional<trial> best;
  for (const std::vector<work::rack_id>& racks : Alternatives(offered, asked)) {
    const std::optional<trial> found =
        TryRacks(offered, asked, racks, victims, index);
    if (found && (!best || found->cost < best->cost))
      best = found;
  }
  if (!best)
    return {};
  preemption chosen{.workers = best->workers};
  for (const std::size_t stopped : best->stopped)
    chosen.stopped.push_back(victims[stopped].unit);
  return chosen;
}

}  // namespace parsleyhitch::placement
