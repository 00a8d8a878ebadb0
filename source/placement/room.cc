// Best fit: within a scope the workers with the least free capacity are filled
// first; among racks, the one with room for the fewest members is chosen. Run
// times go before that, in steps that are wider than the noise of what is
// learned, so that equal workers are still filled in the order of their room.

#include "placement/room.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace parsleyhitch::placement {

namespace {

// Width of a step of run times, in thousandths. Both put 1000 into the middle
// of a step. The wider one only avoids workers that are much slower, and leaves
// the fastest ones to units that are to finish first.
constexpr std::uint32_t kFineStep = 200;
constexpr std::uint32_t kWideStep = 500;

// Smaller differences by interference do not outweigh a tighter fit.
constexpr std::uint32_t kInterferenceStep = 100;

struct candidate {
  std::uint32_t slot = 0;
  std::uint32_t fits = 0;
  // The step of its run time, and of its interference.
  std::uint32_t step = 0;
  std::uint32_t interference = 0;
};

std::uint32_t StepOf(const demand& wanted, std::uint32_t run_time) {
  const std::uint32_t width = wanted.finish_first ? kFineStep : kWideStep;
  return (run_time + width / 2) / width;
}

std::vector<candidate> CandidatesIn(const capacity_map& capacity,
                                    const demand& wanted,
                                    const run_time_function& relative_run_time,
                                    const slot_range& range) {
  std::vector<candidate> found;
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    const worker_capacity& each = capacity.slots()[i];
    if (!Fits(wanted.need, each.free) || !IsEligible(wanted, each))
      continue;
    const std::uint32_t fits = CountFits(wanted, each, each.free);
    if (fits > 0) {
      found.push_back(
          {.slot = i,
           .fits = fits,
           .step = StepOf(wanted, relative_run_time(wanted, each))});
    }
  }
  return found;
}

std::uint64_t CountMembers(const std::vector<candidate>& candidates) {
  std::uint64_t count = 0;
  for (const candidate& each : candidates)
    count += each.fits;
  return count;
}

// The step of the slowest member if the fastest candidates are filled first.
std::uint32_t SlowestStep(const std::vector<candidate>& candidates,
                          std::uint32_t members) {
  std::map<std::uint32_t, std::uint64_t> fits;
  for (const candidate& each : candidates)
    fits[each.step] += each.fits;
  std::uint64_t placed = 0;
  std::uint32_t slowest = 0;
  for (const auto& [step, count] : fits) {
    if (placed >= members)
      break;
    placed += count;
    slowest = step;
  }
  return slowest;
}

std::vector<work::worker_id> AssignTightest(const capacity_map& capacity,
                                            std::vector<candidate> candidates,
                                            std::uint32_t members) {
  const auto tighter = [&](const candidate& a, const candidate& b) {
    const worker_capacity& one = capacity.slots()[a.slot];
    const worker_capacity& other = capacity.slots()[b.slot];
    return std::tie(a.step, a.interference, one.free.accelerators,
                    one.free.cpu_millis, one.worker) <
           std::tie(b.step, b.interference, other.free.accelerators,
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

std::uint32_t UsualRunTime(const demand&, const worker_capacity&) {
  return kUsualRunTime;
}

std::optional<std::vector<work::worker_id>> FindPlacement(
    const capacity_map& capacity,
    const demand& wanted,
    const run_time_function& relative_run_time,
    const run_time_function& interference) {
  if (!Fits(wanted.need, capacity.MaxFree(wanted.service)))
    return {};
  std::vector<candidate> best;
  // The step of the slowest member, if that decides, and the room.
  std::pair<std::uint32_t, std::uint64_t> best_rating;
  bool best_is_one_rack = false;
  for (const placement_scope& each : ScopesFor(capacity, wanted)) {
    if (!best.empty() && best_is_one_rack && !each.is_one_rack)
      break;
    std::vector<candidate> candidates =
        CandidatesIn(capacity, wanted, relative_run_time, each.slots);
    const std::uint64_t count = CountMembers(candidates);
    if (count < wanted.members)
      continue;
    const std::pair rating(
        wanted.finish_first ? SlowestStep(candidates, wanted.members) : 0U,
        count);
    if (!best.empty() && rating >= best_rating)
      continue;
    best = std::move(candidates);
    best_rating = rating;
    best_is_one_rack = each.is_one_rack;
    if (each.is_at_data)
      break;
  }
  if (best.empty())
    return {};
  if (interference) {
    for (candidate& each : best) {
      each.interference =
          interference(wanted, capacity.slots()[each.slot]) / kInterferenceStep;
    }
  }
  return AssignTightest(capacity, std::move(best), wanted.members);
}

}  // namespace parsleyhitch::placement
