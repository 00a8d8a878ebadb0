// The default policy and its baseline.

#include "dispatch/hooks.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace parsleyhitch::dispatch {

namespace {

// Work that a checkpointed task loses on average when it is stopped: half of
// its checkpoint interval, which users state as 2 s.
constexpr work::duration kCheckpointLoss{500};

// Time lost by stopping and starting again, on top of the lost work.
constexpr work::duration kRestartLoss{500};

// Users price an accelerator like eight cores.
constexpr std::int64_t kAcceleratorCpuMillis = 8000;

// A stopped urgent job also misses its objective; users value an urgent job at
// four times a background one.
constexpr std::uint64_t kUrgentCostFactor = 4;

bool ByRankThenSubmission(const waiting_unit& a, const waiting_unit& b) {
  return std::tie(a.importance, a.accepted, a.unit) <
         std::tie(b.importance, b.accepted, b.unit);
}

bool BySubmission(const waiting_unit& a, const waiting_unit& b) {
  return std::tie(a.accepted, a.unit) < std::tie(b.accepted, b.unit);
}

std::vector<std::size_t> AsSorted(
    const std::vector<policy::share_claim>& claims,
    const policy::share_state&) {
  std::vector<std::size_t> order(claims.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  return order;
}

policy::admission AcceptAll(const work::submission&,
                            const std::vector<work::expected_wait>&) {
  return {};
}

std::uint64_t StopCost(const running_unit& unit) {
  const work::duration lost =
      unit.checkpointed ? std::min(unit.ran, kCheckpointLoss) : unit.ran;
  const std::int64_t millis_per_member =
      unit.cpu_millis + unit.accelerators * kAcceleratorCpuMillis;
  const auto total_millis =
      static_cast<std::uint64_t>(millis_per_member) * unit.members;
  const std::uint64_t factor =
      unit.importance <= rank::kUrgent ? kUrgentCostFactor : 1;
  return factor * total_millis *
         static_cast<std::uint64_t>((lost + kRestartLoss).count()) / 1000;
}

std::uint64_t NoBytes(const work::record&) {
  return 0;
}

}  // namespace

hooks DefaultHooks() {
  return {.goes_first = ByRankThenSubmission,
          .share_order = policy::FairOrder,
          .admit = policy::Admit,
          .stop_cost = StopCost,
          .may_preempt =
              [](rank waiting, rank running) {
                return waiting <= rank::kUrgent && waiting < running;
              },
          .record_bytes = NoBytes};
}

hooks BaselineHooks() {
  return {.goes_first = BySubmission,
          .share_order = AsSorted,
          .admit = AcceptAll,
          .stop_cost = StopCost,
          .may_preempt = [](rank, rank) { return false; },
          .record_bytes = NoBytes};
}

}  // namespace parsleyhitch::dispatch
