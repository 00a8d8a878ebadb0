// Slots are sorted once; a plan only takes from them.

#include "placement/board.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace parsleyhitch::placement {

namespace {

std::uint32_t Quotient(std::int64_t room, std::int64_t need) {
  constexpr std::int64_t kMost = 1 << 20;
  if (need <= 0)
    return kMost;
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(room / need, 0, kMost));
}

}  // namespace

board::board(std::vector<slot> offered) : slots_(std::move(offered)) {
  std::ranges::sort(slots_, [](const slot& a, const slot& b) {
    return std::tie(a.service, a.rack, a.worker) <
           std::tie(b.service, b.rack, b.worker);
  });
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    const slot& each = slots_[i];
    index_.emplace(each.worker, i);
    pool& of_service =
        pools_.try_emplace(each.service, pool{.slots = {i, i}}).first->second;
    of_service.slots.last = i + 1;
    auto& racks = of_service.racks;
    if (racks.empty() || racks.back().rack != each.rack)
      racks.push_back({.rack = each.rack, .slots = {i, i}});
    racks.back().slots.last = i + 1;
  }
}

slot_range board::SlotsOf(const work::service_id& service) const {
  const auto found = pools_.find(service);
  return found == pools_.end() ? slot_range() : found->second.slots;
}

const std::vector<rack_slots>& board::RacksOf(
    const work::service_id& service) const {
  static const std::vector<rack_slots> none;
  const auto found = pools_.find(service);
  return found == pools_.end() ? none : found->second.racks;
}

std::optional<std::uint32_t> board::IndexOf(
    const work::worker_id& worker) const {
  const auto found = index_.find(worker);
  if (found == index_.end())
    return {};
  return found->second;
}

work::resources board::MostFree(const work::service_id& service) const {
  const slot_range range = SlotsOf(service);
  work::resources most;
  for (std::uint32_t i = range.first; i < range.last; ++i)
    most = Largest(most, slots_[i].free);
  return most;
}

void board::Take(const work::worker_id& worker, const work::resources& need) {
  const auto index = IndexOf(worker);
  if (index)
    slots_[*index].free = slots_[*index].free - need;
}

void board::NoteLeaving(const work::worker_id& worker,
                        const work::resources& need) {
  const auto index = IndexOf(worker);
  if (index)
    slots_[*index].leaving = slots_[*index].leaving + need;
}

bool Suits(const demand& asked, const slot& offered) {
  if (asked.service != offered.service)
    return false;
  if (!asked.accepts_shunned &&
      (offered.shunned || asked.avoided.contains(offered.worker)))
    return false;
  return asked.required_label.empty() ||
         std::ranges::find(offered.labels, asked.required_label) !=
             offered.labels.end();
}

std::uint32_t CountFits(const demand& asked,
                        const slot& offered,
                        const work::resources& room) {
  const std::uint32_t fits =
      std::min({Quotient(room.cpu_millis, asked.need.cpu_millis),
                Quotient(room.memory_mb, asked.need.memory_mb),
                Quotient(room.accelerators, asked.need.accelerators)});
  if (asked.max_per_worker == 0)
    return fits;
  const auto found = asked.siblings.find(offered.worker);
  const std::uint32_t taken = found == asked.siblings.end() ? 0 : found->second;
  const std::uint32_t left =
      asked.max_per_worker > taken ? asked.max_per_worker - taken : 0;
  return std::min(fits, left);
}

work::resources Largest(const work::resources& a, const work::resources& b) {
  return {.cpu_millis = std::max(a.cpu_millis, b.cpu_millis),
          .memory_mb = std::max(a.memory_mb, b.memory_mb),
          .accelerators = std::max(a.accelerators, b.accelerators)};
}

}  // namespace parsleyhitch::placement
