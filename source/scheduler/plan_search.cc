// Racks are visited in the order of their failure domains, so each group of
// near workers is contiguous.

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

rack_candidates CandidatesOf(const model::rack_key& rack,
                             const std::set<model::placement_candidate>& slots,
                             const model::shape& shape,
                             const headroom& room,
                             std::uint32_t minimum_free) {
  rack_candidates found{.rack = &rack};
  auto slot =
      slots.lower_bound({.free = minimum_free, .worker = model::worker_id()});
  for (; slot != slots.end(); ++slot) {
    const std::uint32_t available = room(slot->worker);
    if (available < shape.accelerators)
      continue;
    found.workers.push_back({.worker = &slot->worker, .room = available});
    found.room += available;
  }
  std::ranges::stable_sort(found.workers, {}, &candidate::room);
  return found;
}

// Racks that the gang may be spread over, taken together.
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
  for (const auto& [rack, slots] : ledger.racks) {
    rack_candidates found =
        CandidatesOf(rack, slots, shape, room, minimum_free);
    if (found.workers.empty())
      continue;
    if (groups.empty() || !SameGroup(shape, *groups.back().back().rack, rack))
      groups.emplace_back();
    groups.back().push_back(std::move(found));
  }
  return groups;
}

std::size_t MembersIn(const rack_group& group) {
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

// One member goes where it leaves least: the fullest worker of the fullest
// rack.
std::vector<model::worker_id> TakeOne(const rack_group& group) {
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

// A gang takes the racks that hold most of it, so that it spreads over few.
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

std::vector<model::worker_id> TakeFirst(const rack_group& group,
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

// Stops at the first group of near workers that is large enough.
bool CouldHold(const model::ledger& ledger,
               const model::shape& shape,
               const headroom& room) {
  const model::rack_key* group = nullptr;
  std::uint32_t fitting = 0;
  for (const auto& [rack, slots] : ledger.racks) {
    if (group == nullptr || !SameGroup(shape, *group, rack))
      fitting = 0;
    group = &rack;
    for (const model::placement_candidate& slot : slots) {
      fitting += room(slot.worker) >= shape.accelerators ? 1 : 0;
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
    if (MembersIn(group) < shape.gang_size)
      continue;
    if (chosen == nullptr || RoomIn(group) < RoomIn(*chosen))
      chosen = &group;
    if (choice == fit::kFirst)
      break;
  }
  if (chosen == nullptr)
    return {};
  if (choice == fit::kFirst)
    return TakeFirst(*chosen, shape.gang_size);
  if (shape.gang_size == 1)
    return TakeOne(*chosen);
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

bool CouldHoldBesideReservations(const model::ledger& ledger,
                                 const model::shape& shape) {
  return CouldHold(
      ledger, shape, [&](const model::worker_id& worker) -> std::uint32_t {
        const std::uint32_t total =
            ledger.workers.Find(worker)->spec.accelerators;
        const std::uint32_t reserved = UseOf(ledger, worker).reserved;
        return reserved >= total ? 0 : total - reserved;
      });
}

bool FleetCouldHold(const model::ledger& ledger, const model::shape& shape) {
  return CouldHold(ledger, shape, [&](const model::worker_id& worker) {
    return ledger.workers.Find(worker)->spec.accelerators;
  });
}

}  // namespace parsleyhitch::scheduler
