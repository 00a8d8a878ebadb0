// Arithmetic on the board.

#include "placement/board.h"

#include <algorithm>

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

void board::Take(const work::worker_id& worker, const work::resources& need) {
  const auto found = slots.find(worker);
  if (found != slots.end())
    found->second.free = found->second.free - need;
}

bool Suits(const demand& asked,
           const work::worker_id& worker,
           const slot& offered) {
  if (asked.service != offered.service)
    return false;
  if (!asked.accepts_shunned &&
      (offered.shunned || asked.avoided.contains(worker)))
    return false;
  return asked.required_label.empty() ||
         std::ranges::find(offered.labels, asked.required_label) !=
             offered.labels.end();
}

std::uint32_t CountFits(const demand& asked,
                        const work::worker_id& worker,
                        const work::resources& room) {
  std::uint32_t fits =
      std::min({Quotient(room.cpu_millis, asked.need.cpu_millis),
                Quotient(room.memory_mb, asked.need.memory_mb),
                Quotient(room.accelerators, asked.need.accelerators)});
  if (asked.max_per_worker == 0)
    return fits;
  const auto found = asked.siblings.find(worker);
  const std::uint32_t taken = found == asked.siblings.end() ? 0 : found->second;
  const std::uint32_t left =
      asked.max_per_worker > taken ? asked.max_per_worker - taken : 0;
  return std::min(fits, left);
}

}  // namespace parsleyhitch::placement
