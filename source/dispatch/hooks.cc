// The default policy and its baseline.

#include "dispatch/hooks.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace parsleyhitch::dispatch {

namespace {

// Users price an accelerator like eight cores.
constexpr std::int64_t kAcceleratorCpuMillis = 8000;

// A stopped urgent job also misses its objective; users value an urgent job at
// four times a background one.
constexpr std::uint64_t kUrgentCostFactor = 4;

constexpr std::uint64_t kPermille = 1000;
constexpr std::uint64_t kMillisPerSecond = 1000;

// Bounds how much more a stop near the end costs: a unit with three quarters of
// its run behind it counts four times, and no unit counts more.
constexpr std::uint64_t kMaxNearEndPermille = 3000;

// What each stop costs beyond the lost work: a caller's unit waits and starts
// again, counted like 5 s of a core. Of two choices that lose about as much
// work, the one with fewer stops is cheaper.
constexpr std::uint64_t kCostOfEachStop = 5000;

// The cost doubles with each earlier stop of the unit, so that others are
// chosen before it. Five doublings outweigh all differences between units of
// one class.
constexpr std::uint32_t kMaxDoublings = 5;

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

// The time of which each member is deprived by a stop. A stop takes a
// checkpoint, so a unit with checkpoints loses no work by it.
work::duration TimeLost(const work::platform_bounds& bounds,
                        const running_unit& unit) {
  return bounds.task_stop +
         (unit.checkpointed ? bounds.checkpoint_restore : unit.ran);
}

// How much more a stop costs near the end of the unit, in thousandths: its room
// comes free by itself soon.
std::uint64_t NearEndPermille(const running_unit& unit) {
  if (!unit.remaining)
    return kPermille;
  const std::int64_t remaining =
      std::max<std::int64_t>(unit.remaining->count(), 1);
  const auto done_per_remaining =
      static_cast<std::uint64_t>(unit.ran.count() * kPermille / remaining);
  return kPermille + std::min(done_per_remaining, kMaxNearEndPermille);
}

std::uint64_t StopCost(const work::platform_bounds& bounds,
                       const running_unit& unit) {
  const std::int64_t millis_per_member =
      unit.cpu_millis + unit.accelerators * kAcceleratorCpuMillis;
  const auto total_millis =
      static_cast<std::uint64_t>(millis_per_member) * unit.members;
  const auto lost = static_cast<std::uint64_t>(TimeLost(bounds, unit).count());
  const std::uint64_t factor =
      unit.importance <= rank::kUrgent ? kUrgentCostFactor : 1;
  const std::uint64_t work_lost = total_millis * lost / kMillisPerSecond;
  const std::uint64_t cost =
      work_lost * NearEndPermille(unit) / kPermille + kCostOfEachStop;
  return (cost * factor) << std::min(unit.preemptions, kMaxDoublings);
}

work::duration NoWait(const policy::unit_in_need&) {
  return work::duration(0);
}

work::resources NoReserve(const policy::urgent_load&,
                          const work::resources&,
                          work::timestamp) {
  return {};
}

std::uint64_t NoBytes(const work::record&) {
  return 0;
}

}  // namespace

hooks DefaultHooks(const work::platform_bounds& bounds,
                   const work::policies& used) {
  return {.goes_first = ByRankThenSubmission,
          .share_order = used.fair_sharing ? policy::FairOrder : AsSorted,
          .admit = used.admission ? policy::Admit : AcceptAll,
          .expected_waits = used.admission ? policy::ExpectedWaits : nullptr,
          .stop_cost = std::bind_front(StopCost, bounds),
          .may_preempt =
              [](rank waiting, rank running) {
                return waiting <= rank::kUrgent && waiting < running;
              },
          .allowed_wait = used.room_waits ? policy::AllowedWait : NoWait,
          .reserve_for_urgent =
              used.urgent_reserve ? policy::ReserveFor : NoReserve,
          .record_bytes = NoBytes};
}

hooks BaselineHooks(const work::platform_bounds& bounds) {
  return {.goes_first = BySubmission,
          .share_order = AsSorted,
          .admit = AcceptAll,
          .stop_cost = std::bind_front(StopCost, bounds),
          .may_preempt = [](rank, rank) { return false; },
          .allowed_wait = NoWait,
          .reserve_for_urgent = NoReserve,
          .record_bytes = NoBytes};
}

}  // namespace parsleyhitch::dispatch
