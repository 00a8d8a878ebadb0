// The slots are sorted once, on construction; a planning pass changes only
// their amounts.

#include "placement/capacity_map.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace parsleyhitch::placement {

namespace {

std::uint32_t Quotient(std::int64_t available, std::int64_t need) {
  constexpr std::int64_t kMaxCount = 1 << 20;
  if (need <= 0)
    return kMaxCount;
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(available / need, 0, kMaxCount));
}

}  // namespace

capacity_map::capacity_map(std::vector<worker_capacity> slots)
    : slots_(std::move(slots)) {
  std::ranges::sort(slots_,
                    [](const worker_capacity& a, const worker_capacity& b) {
                      return std::tie(a.service, a.rack, a.worker) <
                             std::tie(b.service, b.rack, b.worker);
                    });
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    const worker_capacity& each = slots_[i];
    index_.emplace(each.worker, i);
    pool& service_pool =
        pools_.try_emplace(each.service, pool{.slots = {i, i}}).first->second;
    service_pool.slots.last = i + 1;
    auto& racks = service_pool.racks;
    if (racks.empty() || racks.back().rack != each.rack)
      racks.push_back({.rack = each.rack, .slots = {i, i}});
    racks.back().slots.last = i + 1;
  }
}

slot_range capacity_map::SlotsOf(const work::service_id& service) const {
  const auto found = pools_.find(service);
  return found == pools_.end() ? slot_range() : found->second.slots;
}

const std::vector<rack_slots>& capacity_map::RacksOf(
    const work::service_id& service) const {
  static const std::vector<rack_slots> none;
  const auto found = pools_.find(service);
  return found == pools_.end() ? none : found->second.racks;
}

std::optional<std::uint32_t> capacity_map::IndexOf(
    const work::worker_id& worker) const {
  const auto found = index_.find(worker);
  if (found == index_.end())
    return {};
  return found->second;
}

work::resources capacity_map::MaxFree(const work::service_id& service) const {
  const slot_range range = SlotsOf(service);
  work::resources max;
  for (std::uint32_t i = range.first; i < range.last; ++i)
    max = ElementwiseMax(max, slots_[i].free);
  return max;
}

void capacity_map::Take(const work::worker_id& worker,
                        const work::resources& need) {
  const auto index = IndexOf(worker);
  if (!index)
    return;
  slots_[*index].free = slots_[*index].free - need;
  slots_[*index].idle = false;
}

void capacity_map::TakeAll(const work::worker_id& worker) {
  const auto index = IndexOf(worker);
  if (index)
    Take(worker, slots_[*index].free);
}

void capacity_map::AddLeaving(const work::worker_id& worker,
                              const work::resources& need) {
  const auto index = IndexOf(worker);
  if (index)
    slots_[*index].leaving = slots_[*index].leaving + need;
}

bool IsEligible(const demand& wanted, const worker_capacity& slot) {
  if (wanted.service != slot.service || (wanted.alone && !slot.idle))
    return false;
  if (!wanted.accepts_shunned &&
      (slot.shunned || wanted.avoided.contains(slot.worker)))
    return false;
  if (slot.hung && !wanted.accepts_hung)
    return false;
  return wanted.required_label.empty() ||
         std::ranges::find(slot.labels, wanted.required_label) !=
             slot.labels.end();
}

std::uint32_t CountFits(const demand& wanted,
                        const worker_capacity& slot,
                        const work::resources& available) {
  const std::uint32_t fits =
      std::min({Quotient(available.cpu_millis, wanted.need.cpu_millis),
                Quotient(available.memory_mb, wanted.need.memory_mb),
                Quotient(available.accelerators, wanted.need.accelerators)});
  if (wanted.max_per_worker == 0)
    return fits;
  const auto found = wanted.same_step_tasks.find(slot.worker);
  const std::uint32_t taken =
      found == wanted.same_step_tasks.end() ? 0 : found->second;
  const std::uint32_t left =
      wanted.max_per_worker > taken ? wanted.max_per_worker - taken : 0;
  return std::min(fits, left);
}

work::resources ElementwiseMax(const work::resources& a,
                               const work::resources& b) {
  return {.cpu_millis = std::max(a.cpu_millis, b.cpu_millis),
          .memory_mb = std::max(a.memory_mb, b.memory_mb),
          .accelerators = std::max(a.accelerators, b.accelerators)};
}

}  // namespace parsleyhitch::placement
