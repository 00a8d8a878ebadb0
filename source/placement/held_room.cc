// The choice is made anew in each planning pass. It is stable, as nothing else
// takes what is kept, so that the chosen scope only gains room.

#include "placement/held_room.h"

#include <algorithm>

#include "placement/room.h"

namespace parsleyhitch::placement {

namespace {

struct candidate {
  std::uint32_t slot = 0;
  // Members that fit now.
  std::uint32_t fits = 0;
};

struct scope_room {
  std::vector<candidate> candidates;
  // Members that fit now, and when nothing else runs there.
  std::uint64_t fits = 0;
  std::uint64_t fits_empty = 0;
};

work::resources Part(const work::resources& free, const work::resources& need) {
  const auto part = [](std::int64_t a, std::int64_t b) {
    return std::clamp<std::int64_t>(a, 0, b);
  };
  return {.cpu_millis = part(free.cpu_millis, need.cpu_millis),
          .memory_mb = part(free.memory_mb, need.memory_mb),
          .accelerators = part(free.accelerators, need.accelerators)};
}

// How much of one member fits, in thousandths of the resource that it lacks
// most.
std::int64_t Covered(const work::resources& free, const work::resources& need) {
  const work::resources part = Part(free, need);
  const auto covered = [](std::int64_t a, std::int64_t b) {
    return b > 0 ? a * 1000 / b : 1000;
  };
  return std::min({covered(part.cpu_millis, need.cpu_millis),
                   covered(part.memory_mb, need.memory_mb),
                   covered(part.accelerators, need.accelerators)});
}

scope_room RoomIn(
    const capacity_map& capacity,
    const demand& wanted,
    const slot_range& range,
    const std::function<work::resources(const work::worker_id&)>& capacity_of) {
  scope_room room;
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    const worker_capacity& slot = capacity.slots()[i];
    if (!IsEligible(wanted, slot))
      continue;
    const std::uint32_t fits_empty =
        CountFits(wanted, slot, capacity_of(slot.worker));
    if (fits_empty == 0)
      continue;
    const std::uint32_t fits = CountFits(wanted, slot, slot.free);
    room.candidates.push_back({.slot = i, .fits = fits});
    room.fits += fits;
    room.fits_empty += fits_empty;
  }
  return room;
}

std::vector<held_part> PartsIn(const capacity_map& capacity,
                               const demand& wanted,
                               std::vector<candidate> candidates) {
  std::vector<held_part> parts;
  std::ranges::stable_sort(candidates, std::ranges::greater(),
                           &candidate::fits);
  for (const candidate& each : candidates) {
    for (std::uint32_t i = 0; i < each.fits && parts.size() < wanted.members;
         ++i) {
      parts.push_back({.worker = capacity.slots()[each.slot].worker,
                       .amount = wanted.need});
    }
  }
  const auto rest_of = [&](const candidate& each) {
    const work::resources& need = wanted.need;
    const work::resources& free = capacity.slots()[each.slot].free;
    return work::resources{
        .cpu_millis = free.cpu_millis - need.cpu_millis * each.fits,
        .memory_mb = free.memory_mb - need.memory_mb * each.fits,
        .accelerators = free.accelerators - need.accelerators * each.fits};
  };
  std::ranges::stable_sort(candidates, std::ranges::greater(),
                           [&](const candidate& each) {
                             return Covered(rest_of(each), wanted.need);
                           });
  for (const candidate& each : candidates) {
    if (parts.size() >= wanted.members)
      break;
    // Without some of each resource the rest would only stay idle.
    if (Covered(rest_of(each), wanted.need) == 0)
      break;
    parts.push_back({.worker = capacity.slots()[each.slot].worker,
                     .amount = Part(rest_of(each), wanted.need)});
  }
  return parts;
}

}  // namespace

std::vector<held_part> FindHeldRoom(
    const capacity_map& capacity,
    const demand& wanted,
    const std::function<work::resources(const work::worker_id&)>& capacity_of) {
  scope_room best;
  for (const placement_scope& each : ScopesFor(capacity, wanted)) {
    scope_room room = RoomIn(capacity, wanted, each.slots, capacity_of);
    if (room.fits_empty < wanted.members)
      continue;
    if (best.candidates.empty() || room.fits > best.fits)
      best = std::move(room);
  }
  return PartsIn(capacity, wanted, std::move(best.candidates));
}

}  // namespace parsleyhitch::placement
