// Best fit: within an alternative the tightest workers are filled first; among
// racks the one that is left with the least room wins.

#include "placement/room.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace parsleyhitch::placement {

namespace {

struct candidate {
  work::worker_id worker;
  work::resources room;
  std::uint32_t fits = 0;
};

bool Tighter(const candidate& a, const candidate& b) {
  return std::tie(a.room.accelerators, a.room.cpu_millis, a.worker) <
         std::tie(b.room.accelerators, b.room.cpu_millis, b.worker);
}

std::vector<candidate> CandidatesIn(const board& offered,
                                    const demand& asked,
                                    const std::vector<work::rack_id>& racks,
                                    const room_of& room) {
  std::vector<candidate> found;
  for (const auto& [worker, each] : offered.slots) {
    if (!Suits(asked, worker, each) ||
        std::ranges::find(racks, each.rack) == racks.end())
      continue;
    const work::resources has = room(worker, each);
    const std::uint32_t fits = CountFits(asked, worker, has);
    if (fits > 0)
      found.push_back({.worker = worker, .room = has, .fits = fits});
  }
  std::ranges::sort(found, Tighter);
  return found;
}

std::uint64_t CountAll(const std::vector<candidate>& candidates) {
  std::uint64_t count = 0;
  for (const candidate& each : candidates)
    count += each.fits;
  return count;
}

std::vector<work::worker_id> Fill(const std::vector<candidate>& candidates,
                                  std::uint32_t members) {
  std::vector<work::worker_id> chosen;
  for (const candidate& each : candidates) {
    for (std::uint32_t i = 0; i < each.fits && chosen.size() < members; ++i)
      chosen.push_back(each.worker);
  }
  return chosen;
}

}  // namespace

work::resources FreeRoom(const work::worker_id&, const slot& offered) {
  return offered.free;
}

work::resources SoonFreeRoom(const work::worker_id&, const slot& offered) {
  return offered.free + offered.leaving;
}

std::vector<std::vector<work::rack_id>> Alternatives(const board& offered,
                                                     const demand& asked) {
  std::set<work::rack_id> racks;
  for (const auto& [worker, each] : offered.slots) {
    if (Suits(asked, worker, each))
      racks.insert(each.rack);
  }
  const std::vector<work::rack_id> all(racks.begin(), racks.end());
  std::vector<std::vector<work::rack_id>> alternatives;
  const bool has_data_rack = racks.contains(asked.data_rack);
  if (has_data_rack)
    alternatives.push_back({asked.data_rack});
  if (has_data_rack && !asked.accepts_far)
    return alternatives;
  if (!asked.same_rack) {
    alternatives.push_back(all);
    return alternatives;
  }
  for (const work::rack_id& rack : all) {
    if (rack != asked.data_rack || !has_data_rack)
      alternatives.push_back({rack});
  }
  if (asked.accepts_far)
    alternatives.push_back(all);
  return alternatives;
}

std::optional<std::vector<work::worker_id>> FindRoom(const board& offered,
                                                     const demand& asked,
                                                     const room_of& room) {
  std::optional<std::vector<work::worker_id>> best;
  std::uint64_t best_left = 0;
  bool best_is_single = false;
  for (const std::vector<work::rack_id>& racks : Alternatives(offered, asked)) {
    const bool single = racks.size() == 1;
    const bool at_data = single && racks.front() == asked.data_rack;
    if (best && best_is_single && !single)
      break;
    const auto candidates = CandidatesIn(offered, asked, racks, room);
    const std::uint64_t count = CountAll(candidates);
    if (count < asked.members)
      continue;
    if (best && count >= best_left)
      continue;
    best = Fill(candidates, asked.members);
    best_left = count;
    best_is_single = single;
    if (at_data)
      break;
  }
  return best;
}

}  // namespace parsleyhitch::placement
