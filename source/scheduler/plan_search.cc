// Racks are sorted by failure domain, so the racks of one group are visited
// one after another.

#include "scheduler/plan_search.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "scheduler/capacity.h"

namespace parsleyhitch::scheduler {

namespace {

struct candidate {
  const model::worker_id* worker = nullptr;
  std::uint32_t room = 0;
};

struct rack_candidates {
  const model::rack_key* rack = nullptr;
  std::vector<candidate> workers;
  std::uint64_t room = 0;
};

rack_candidates CandidatesOf(
    const model::rack_key& rack,
    const std::set<model::placement_candidate>& candidates,
    const model::shape& shape,
    const headroom& room,
    std::uint32_t minimum_free) {
  rack_candidates found{.rack = &rack};
  auto next = candidates.lower_bound(
      {.free = minimum_free, .worker = model::worker_id()});
  for (; next != candidates.end(); ++next) {
    const std::uint32_t available = room(next->worker);
    if (available < shape.accelerators)
      continue;
    found.workers.push_back({.worker = &next->worker, .room = available});
    found.room += available;
  }
  std::ranges::stable_sort(found.workers, {}, &candidate::room);
  return found;
}

// Racks that one gang may be spread over.
using rack_group = std::vector<rack_candidates>;

bool SameGroup(const model::shape& shape,
               const model::rack_key& left,
               const model::rack_key& right) {
  if (shape.nearness == model::adjacency::kAny)
    return true;
  if (shape.nearness == model::adjacency::kRack)
    return left == right;
  return left.failure_domain == right.failure_domain;
}

std::vector<rack_group> GroupsOf(const model::ledger& ledger,
                                 const model::shape& shape,
                                 const headroom& room,
                                 std::uint32_t minimum_free) {
  std::vector<rack_group> groups;
  for (const auto& [rack, candidates] : ledger.racks) {
    rack_candidates found =
        CandidatesOf(rack, candidates, shape, room, minimum_free);
    if (found.workers.empty())
      continue;
    if (groups.empty() || !SameGroup(shape, *groups.back().back().rack, rack))
      groups.emplace_back();
    groups.back().push_back(std::move(found));
  }
  return groups;
}

std::size_t WorkersIn(const rack_group& group) {
  std::size_t members = 0;
  for (const rack_candidates& rack : group)
    members += rack.workers.size();
  return members;
}

std::uint64_t RoomIn(const rack_group& group) {
  std::uint64_t room = 0;
  for (const rack_candidates& rack : group)
    room += rack.room;
  return room;
}

// Best fit for a single member: the worker with the least headroom; among
// equals, the one in the rack with the least.
std::vector<model::worker_id> TakeTightestWorker(const rack_group& group) {
  const candidate* best = nullptr;
  std::uint64_t best_rack_room = 0;
  for (const rack_candidates& rack : group) {
    const candidate& first = rack.workers.front();
    const bool better =
        best == nullptr || first.room < best->room ||
        (first.room == best->room && rack.room < best_rack_room);
    if (!better)
      continue;
    best = &first;
    best_rack_room = rack.room;
  }
  return {*best->worker};
}

// Fills the racks with the most fitting workers first, so that the gang spans
// few racks.
std::vector<model::worker_id> TakeGang(const rack_group& group,
                                       std::uint32_t gang_size) {
  std::vector<const rack_candidates*> racks;
  for (const rack_candidates& rack : group)
    racks.push_back(&rack);
  std::ranges::stable_sort(racks, std::ranges::greater{}, [](const auto* rack) {
    return rack->workers.size();
  });
  std::vector<model::worker_id> taken;
  for (const rack_candidates* rack : racks) {
    for (const candidate& each : rack->workers) {
      if (taken.size() == gang_size)
        return taken;
      taken.push_back(*each.worker);
    }
  }
  return taken;
}

std::vector<model::worker_id> TakeInNameOrder(const rack_group& group,
                                              std::uint32_t gang_size) {
  std::vector<model::worker_id> taken;
  for (const rack_candidates& rack : group) {
    for (const candidate& each : rack.workers)
      taken.push_back(*each.worker);
  }
  std::ranges::sort(taken);
  taken.resize(gang_size);
  return taken;
}

// Stops at the first group of racks with enough fitting workers.
bool ShapeFits(const model::ledger& ledger,
               const model::shape& shape,
               const headroom& room) {
  const model::rack_key* group = nullptr;
  std::uint32_t fitting = 0;
  for (const auto& [rack, candidates] : ledger.racks) {
    if (group == nullptr || !SameGroup(shape, *group, rack))
      fitting = 0;
    group = &rack;
    for (const model::placement_candidate& each : candidates) {
      fitting += room(each.worker) >= shape.accelerators ? 1 : 0;
      if (fitting >= shape.gang_size)
        return true;
    }
  }
  return false;
}

}  // namespace

std::vector<model::worker_id> FindWorkers(const model::ledger& ledger,
                                          const model::shape& shape,
                                          const headroom& room,
                                          std::uint32_t minimum_free,
                                          fit choice) {
  const rack_group* chosen = nullptr;
  const std::vector<rack_group> groups =
      GroupsOf(ledger, shape, room, minimum_free);
  for (const rack_group& group : groups) {
    if (WorkersIn(group) < shape.gang_size)
      continue;
    if (chosen == nullptr || RoomIn(group) < RoomIn(*chosen))
      chosen = &group;
    if (choice == fit::kFirst)
      break;
  }
  if (chosen == nullptr)
    return {};
  if (choice == fit::kFirst)
    return TakeInNameOrder(*chosen, shape.gang_size);
  if (shape.gang_size == 1)
    return TakeTightestWorker(*chosen);
  return TakeGang(*chosen, shape.gang_size);
}

std::vector<model::worker_id> FindReservable(const model::ledger& ledger,
                                             const model::shape& shape) {
  const headroom room = [&](const model::worker_id& worker) -> std::uint32_t {
    const model::worker_status& status = *ledger.workers.Find(worker);
    if (status.ejected_until > ledger.clock)
      return 0;
    const std::uint32_t total = status.spec.accelerators;
    const model::capacity use = UseOf(ledger, worker);
    const std::uint32_t taken = use.firm + use.reserved;
    return taken >= total ? 0 : total - taken;
  };
  return FindWorkers(ledger, shape, room, 0, fit::kBest);
}

bool FitsBesideReservations(const model::ledger& ledger,
                            const model::shape& shape) {
  return ShapeFits(
      ledger, shape, [&](const model::worker_id& worker) -> std::uint32_t {
        const std::uint32_t total =
            ledger.workers.Find(worker)->spec.accelerators;
        const std::uint32_t reserved = UseOf(ledger, worker).reserved;
        return reserved >= total ? 0 : total - reserved;
      });
}

bool FitsInFleet(const model::ledger& ledger, const model::shape& shape) {
  return ShapeFits(ledger, shape, [&](const model::worker_id& worker) {
    return ledger.workers.Find(worker)->spec.accelerators;
  });
}

}  // namespace parsleyhitch::scheduler
