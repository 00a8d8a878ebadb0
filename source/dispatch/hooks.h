// Behaviour of the dispatcher that varies: the order of demands, what a stop
// costs, and when a place far from the data is accepted.

#ifndef PARSLEYHITCH_DISPATCH_HOOKS_H_
#define PARSLEYHITCH_DISPATCH_HOOKS_H_

#include <cstdint>
#include <functional>

#include "work/job.h"

namespace parsleyhitch::dispatch {

// How important a unit is; the first goes first, and a later one may be stopped
// for one of the first two.
enum class rank : std::uint8_t {
  kGuaranteed,  // priority 0, within its workspace's guarantee
  kUrgent,      // priority 0, beyond the guarantee
  kFirm,        // priority 1
  kBackground,  // everything else
};

// A unit that waits, as the order sees it.
struct waiting_unit {
  work::unit_id unit;
  rank importance = rank::kBackground;
  // Position of the job's submission.
  std::uint64_t accepted = 0;
  std::uint32_t members = 1;
  std::int64_t accelerators = 0;
  work::duration waited{0};
  // Since it last ran or became ready.
  work::duration idle{0};
};

// A unit that runs, as the choice of victims sees it.
struct running_unit {
  std::uint32_t members = 1;
  // Of each member.
  std::int64_t cpu_millis = 0;
  std::int64_t accelerators = 0;
  work::duration ran{0};
  bool checkpointed = false;
  rank importance = rank::kBackground;
};

struct hooks {
  // True when `a` is to be placed before `b`; a strict weak order.
  std::function<bool(const waiting_unit& a, const waiting_unit& b)> goes_first;

  // Work thrown away if the unit is stopped now, in core-milliseconds.
  std::function<std::uint64_t(const running_unit&)> stop_cost;

  // True when a unit of the first rank may have one of the second stopped.
  std::function<bool(rank waiting, rank running)> may_preempt;
};

// The product's policy.
hooks DefaultHooks();

// First come, first served; nothing is ever stopped. The policy is measured
// against it.
hooks BaselineHooks();

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_HOOKS_H_
