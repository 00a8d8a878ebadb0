// Best fit: within a scope the workers with the least free capacity are filled
// first, of those on which the tasks take equally long; among racks, the one
// with room for the fewest members is chosen.

#include "placement/room.h"

#include <algorithm>
#include <tuple>

namespace parsleyhitch::placement {

namespace {

// Smaller differences in run time do not outweigh a tighter fit, in
// thousandths.
constexpr std::uint32_t kRunTimeStep = 100;

struct candidate {
  std::uint32_t slot = 0;
  std::uint32_t fits = 0;
  // In steps.
  std::uint32_t run_time = 0;
};

std::vector<candidate> CandidatesIn(const capacity_map& capacity,
                                    const demand& wanted,
                                    const slot_range& range) {
  std::vector<candidate> found;
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    const worker_capacity& each = capacity.slots()[i];
    if (!Fits(wanted.need, each.free) || !IsEligible(wanted, each))
      continue;
    const std::uint32_t fits = CountFits(wanted, each, each.free);
    if (fits > 0)
      found.push_back({.slot = i, .fits = fits});
  }
  return found;
}

std::uint64_t CountMembers(const std::vector<candidate>& candidates) {
  std::uint64_t count = 0;
  for (const candidate& each : candidates)
    count += each.fits;
  return count;
}

std::vector<work::worker_id> AssignTightest(const capacity_map& capacity,
                                            std::vector<candidate> candidates,
                                            std::uint32_t members) {
  const auto tighter = [&](const candidate& a, const candidate& b) {
    const worker_capacity& one = capacity.slots()[a.slot];
    const worker_capacity& other = capacity.slots()[b.slot];
    return std::tie(a.run_time, one.free.accelerators, one.free.cpu_millis,
                    one.worker) < std::tie(b.run_time, other.free.accelerators,
                                           other.free.cpu_millis, other.worker);
  };
  // Each candidate takes at least one member, so only this many need sorting.
  const auto used = static_cast<std::ptrdiff_t>(
      std::min<std::size_t>(members, candidates.size()));
  std::ranges::partial_sort(candidates, candidates.begin() + used, tighter);
  std::vector<work::worker_id> chosen;
  for (const candidate& each : candidates) {
    for (std::uint32_t i = 0; i < each.fits && chosen.size() < members; ++i)
      chosen.push_back(capacity.slots()[each.slot].worker);
  }
  return chosen;
}

bool HasEligible(const capacity_map& capacity,
                 const demand& wanted,
                 const slot_range& range) {
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    if (IsEligible(wanted, capacity.slots()[i]))
      return true;
  }
  return false;
}

}  // namespace

std::vector<placement_scope> ScopesFor(const capacity_map& capacity,
                                       const demand& wanted) {
  const std::vector<rack_slots>& racks = capacity.RacksOf(wanted.service);
  const auto at_data =
      std::ranges::find(racks, wanted.data_rack, &rack_slots::rack);
  const bool has_data_rack = !wanted.data_rack.value().empty() &&
                             at_data != racks.end() &&
                             HasEligible(capacity, wanted, at_data->slots);
  std::vector<placement_scope> found;
  if (has_data_rack) {
    found.push_back(
        {.slots = at_data->slots, .is_one_rack = true, .is_at_data = true});
  }
  if (has_data_rack && !wanted.accepts_remote)
    return found;
  if (wanted.same_rack) {
    for (const rack_slots& each : racks) {
      if (!has_data_rack || each.rack != wanted.data_rack)
        found.push_back({.slots = each.slots, .is_one_rack = true});
    }
  }
  if (!wanted.same_rack || wanted.accepts_remote)
    found.push_back({.slots = capacity.SlotsOf(wanted.service)});
  return found;
}

std::optional<std::vector<work::worker_id>> FindPlacement(
    const capacity_map& capacity,
    const demand& wanted,
    const relative_run_time& run_time) {
  if (!Fits(wanted.need, capacity.MaxFree(wanted.service)))
    return {};
  std::vector<candidate> best;
  std::uint64_t best_count = 0;
  bool best_is_one_rack = false;
  for (const placement_scope& each : ScopesFor(capacity, wanted)) {
    if (!best.empty() && best_is_one_rack && !each.is_one_rack)
      break;
    std::vector<candidate> candidates =
        CandidatesIn(capacity, wanted, each.slots);
    const std::uint64_t count = CountMembers(candidates);
    if (count < wanted.members || (!best.empty() && count >= best_count))
      continue;
    best = std::move(candidates);
    best_count = count;
    best_is_one_rack = each.is_one_rack;
    if (each.is_at_data)
      break;
  }
  if (best.empty())
    return {};
  if (run_time) {
    for (candidate& each : best) {
      each.run_time =
          run_time(wanted, capacity.slots()[each.slot]) / kRunTimeStep;
    }
  }
  return AssignTightest(capacity, std::move(best), wanted.members);
}

}  // namespace parsleyhitch::placement
