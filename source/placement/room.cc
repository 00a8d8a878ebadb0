// Best fit: within an alternative the tightest workers are filled first; among
// racks the one that is left with the least room wins.

#include "placement/room.h"

#include <algorithm>
#include <tuple>

namespace parsleyhitch::placement {

namespace {

struct candidate {
  std::uint32_t slot = 0;
  std::uint32_t fits = 0;
};

std::vector<candidate> CandidatesIn(const board& offered,
                                    const demand& asked,
                                    const slot_range& range) {
  std::vector<candidate> found;
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    const slot& each = offered.slots()[i];
    if (!Fits(asked.need, each.free) || !Suits(asked, each))
      continue;
    const std::uint32_t fits = CountFits(asked, each, each.free);
    if (fits > 0)
      found.push_back({.slot = i, .fits = fits});
  }
  return found;
}

std::uint64_t CountAll(const std::vector<candidate>& candidates) {
  std::uint64_t count = 0;
  for (const candidate& each : candidates)
    count += each.fits;
  return count;
}

std::vector<work::worker_id> Fill(const board& offered,
                                  std::vector<candidate> candidates,
                                  std::uint32_t members) {
  const auto tighter = [&](const candidate& a, const candidate& b) {
    const slot& one = offered.slots()[a.slot];
    const slot& other = offered.slots()[b.slot];
    return std::tie(one.free.accelerators, one.free.cpu_millis, one.worker) <
           std::tie(other.free.accelerators, other.free.cpu_millis,
                    other.worker);
  };
  // Each candidate takes one member at least.
  const auto used = static_cast<std::ptrdiff_t>(
      std::min<std::size_t>(members, candidates.size()));
  std::ranges::partial_sort(candidates, candidates.begin() + used, tighter);
  std::vector<work::worker_id> chosen;
  for (const candidate& each : candidates) {
    for (std::uint32_t i = 0; i < each.fits && chosen.size() < members; ++i)
      chosen.push_back(offered.slots()[each.slot].worker);
  }
  return chosen;
}

bool HasSuiting(const board& offered,
                const demand& asked,
                const slot_range& range) {
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    if (Suits(asked, offered.slots()[i]))
      return true;
  }
  return false;
}

}  // namespace

std::vector<alternative> Alternatives(const board& offered,
                                      const demand& asked) {
  const std::vector<rack_slots>& racks = offered.RacksOf(asked.service);
  const auto at_data =
      std::ranges::find(racks, asked.data_rack, &rack_slots::rack);
  const bool has_data_rack = !asked.data_rack.value().empty() &&
                             at_data != racks.end() &&
                             HasSuiting(offered, asked, at_data->slots);
  std::vector<alternative> found;
  if (has_data_rack) {
    found.push_back(
        {.slots = at_data->slots, .is_one_rack = true, .is_at_data = true});
  }
  if (has_data_rack && !asked.accepts_far)
    return found;
  if (asked.same_rack) {
    for (const rack_slots& each : racks) {
      if (!has_data_rack || each.rack != asked.data_rack)
        found.push_back({.slots = each.slots, .is_one_rack = true});
    }
  }
  if (!asked.same_rack || asked.accepts_far)
    found.push_back({.slots = offered.SlotsOf(asked.service)});
  return found;
}

std::optional<std::vector<work::worker_id>> FindRoom(const board& offered,
                                                     const demand& asked) {
  if (!Fits(asked.need, offered.MostFree(asked.service)))
    return {};
  std::vector<candidate> best;
  std::uint64_t best_left = 0;
  bool best_is_one_rack = false;
  for (const alternative& each : Alternatives(offered, asked)) {
    if (!best.empty() && best_is_one_rack && !each.is_one_rack)
      break;
    std::vector<candidate> candidates =
        CandidatesIn(offered, asked, each.slots);
    const std::uint64_t count = CountAll(candidates);
    if (count < asked.members || (!best.empty() && count >= best_left))
      continue;
    best = std::move(candidates);
    best_left = count;
    best_is_one_rack = each.is_one_rack;
    if (each.is_at_data)
      break;
  }
  if (best.empty())
    return {};
  return Fill(offered, std::move(best), asked.members);
}

}  // namespace parsleyhitch::placement
