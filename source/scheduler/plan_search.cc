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
  const model::failure_domain_id* failure_domain = nullptr;
  std::vector<candidate> workers;
  std::uint64_t room = 0;
};

rack_candidates CandidatesOf(const model::rack_name& rack,
                             const std::set<model::free_slot>& slots,
                             const model::shape& shape,
                             const headroom& room,
                             std::uint32_t minimum_free) {
  rack_candidates found{.failure_domain = &rack.failure_domain};
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
               const rack_candidates& left,
               const rack_candidates& right) {
  if (shape.nearness == model::adjacency::kAny)
    return true;
  if (shape.nearness == model::adjacency::kRack)
    return false;
  return *left.failure_domain == *right.failure_domain;
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
    if (groups.empty() || !SameGroup(shape, groups.back().back(), found))
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

std::vector<model::worker_id> FindBesideReservations(
    const model::ledger& ledger,
    const model::shape& shape) {
  const headroom room = [&](const model::worker_id& worker) -> std::uint32_t {
    const std::uint32_t total = ledger.workers.Find(worker)->spec.accelerators;
    const std::uint32_t reserved = UseOf(ledger, worker).reserved;
    return reserved >= total ? 0 : total - reserved;
  };
  return FindWorkers(ledger, shape, room, 0, fit::kFirst);
}

bool FleetCouldHold(const model::ledger& ledger, const model::shape& shape) {
  const headroom whole = [&](const model::worker_id& worker) {
    return ledger.workers.Find(worker)->spec.accelerators;
  };
  return !FindWorkers(ledger, shape, whole, 0, fit::kFirst).empty();
}

}  // namespace parsleyhitch::scheduler
