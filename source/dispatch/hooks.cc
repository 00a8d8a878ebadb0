// The product's policy and its baseline.

#include "dispatch/hooks.h"

#include <algorithm>
#include <tuple>

namespace parsleyhitch::dispatch {

namespace {

// A checkpointed task loses at most what it did since its last checkpoint: half
// the interval of 2 s that the users' sheets state, on average.
constexpr work::duration kCheckpointLoss{500};

// A stop and a new start: what a stopped unit loses beside its work.
constexpr work::duration kRestart{500};

// The users price an accelerator like eight cores.
constexpr std::int64_t kAcceleratorMillis = 8000;

// Urgent work that is stopped misses its objective as well; the users value an
// urgent job at four times a background one.
constexpr std::uint64_t kUrgentWeight = 4;

bool ByRankThenAge(const waiting_unit& a, const waiting_unit& b) {
  return std::tie(a.importance, a.accepted, a.unit) <
         std::tie(b.importance, b.accepted, b.unit);
}

bool ByAge(const waiting_unit& a, const waiting_unit& b) {
  return std::tie(a.accepted, a.unit) < std::tie(b.accepted, b.unit);
}

std::uint64_t LostWork(const running_unit& unit) {
  const work::duration lost =
      unit.checkpointed ? std::min(unit.ran, kCheckpointLoss) : unit.ran;
  const std::int64_t each =
      unit.cpu_millis + unit.accelerators * kAcceleratorMillis;
  const auto cores = static_cast<std::uint64_t>(each) * unit.members;
  const std::uint64_t weight =
      unit.importance <= rank::kUrgent ? kUrgentWeight : 1;
  return weight * cores *
         static_cast<std::uint64_t>((lost + kRestart).count()) / 1000;
}

}  // namespace

hooks DefaultHooks() {
  return {.goes_first = ByRankThenAge,
          .stop_cost = LostWork,
          .may_preempt = [](rank waiting, rank running) {
            return waiting <= rank::kUrgent && waiting < running;
          }};
}

hooks BaselineHooks() {
  return {.goes_first = ByAge,
          .stop_cost = LostWork,
          .may_preempt = [](rank, rank) { return false; }};
}

}  // namespace parsleyhitch::dispatch
