// Hooks of the dispatcher. Policy: the order of waiting units, also where
// capacity is short, the cost of stopping a unit, and which ranks may preempt
// which. Encoding: the size of a
// record.

#ifndef PARSLEYHITCH_DISPATCH_HOOKS_H_
#define PARSLEYHITCH_DISPATCH_HOOKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "placement/room.h"
#include "policy/admission.h"
#include "policy/fair_share.h"
#include "policy/reservation.h"
#include "work/bounds.h"
#include "work/policies.h"
#include "work/record.h"

namespace parsleyhitch::dispatch {

// Importance of a unit, highest first. The default policy lets the first two
// ranks preempt lower ones.
enum class rank : std::uint8_t {
  kGuaranteed,  // priority 0, within its workspace's guarantee
  kUrgent,      // priority 0, beyond the guarantee
  kFirm,        // priority 1
  kBackground,  // everything else
};

// A waiting unit, as seen by `goes_first`.
struct waiting_unit {
  work::unit_id unit;
  rank importance = rank::kBackground;
  // Position of the job's submission.
  std::uint64_t accepted = 0;
  std::uint32_t members = 1;
  std::int64_t accelerators = 0;
  work::duration waited{0};
  // Time since it last ran or became ready.
  work::duration idle{0};
  // Its objective is nearly lost, and its service has not room for all: room is
  // kept for it.
  bool overdue = false;
  // It is placed before a unit of its rank that was submitted earlier.
  bool passes_earlier = false;
};

// A running unit, as seen by `stop_cost`.
struct running_unit {
  std::uint32_t members = 1;
  // Of each member.
  std::int64_t cpu_millis = 0;
  std::int64_t accelerators = 0;
  work::duration ran{0};
  // How long it is expected to run on; nothing for an endless one.
  std::optional<work::duration> remaining;
  // How often it was stopped in favour of more important work.
  std::uint32_t preemptions = 0;
  bool checkpointed = false;
  rank importance = rank::kBackground;
};

struct hooks {
  // True when `a` is placed before `b`. Must be a strict weak order.
  std::function<bool(const waiting_unit& a, const waiting_unit& b)> goes_first;

  // The order in which claims on capacity that does not suffice for all are
  // served, as indexes of the claims, which are sorted by `goes_first`.
  std::function<std::vector<std::size_t>(
      const std::vector<policy::share_claim>& claims,
      const policy::share_state& state)>
      share_order;

  // Whether a submission is accepted, by the expected waits of its workspace.
  std::function<policy::admission(
      const work::submission& job,
      const std::vector<work::expected_wait>& waits)>
      admit;

  // How long further jobs of each workspace would wait. The leader does not
  // measure it if there is no such hook.
  std::function<std::vector<work::expected_wait>(
      const std::vector<policy::queued_work>& queued,
      const std::map<work::service_id, policy::service_capacity>& services)>
      expected_waits;

  // Cost of stopping the unit now, in core-milliseconds of lost work.
  std::function<std::uint64_t(const running_unit&)> stop_cost;

  // True when a unit of rank `waiting` may preempt one of rank `running`.
  std::function<bool(rank waiting, rank running)> may_preempt;

  // The longest time for which the unit waits for room instead of preempting
  // others now.
  std::function<work::duration(const policy::unit_in_need&)> allowed_wait;

  // How much of a service's capacity units that may not preempt others leave
  // free for those that may.
  std::function<work::resources(const policy::urgent_load& load,
                                const work::resources& capacity,
                                work::timestamp now)>
      reserve_for_urgent;

  // What the run time of a unit's tasks on a worker is multiplied with, beside
  // the worker's speed, in thousandths. The default is 1000 for all.
  placement::run_time_function relative_run_time = placement::UsualRunTime;

  // The most bytes that the record takes in an append. The default counts none,
  // for a store without limits.
  std::function<std::uint64_t(const work::record&)> record_bytes;
};

// The default policy, for a platform with these bounds, without the decisions
// that are turned off.
hooks DefaultHooks(const work::platform_bounds& bounds = {},
                   const work::policies& used = {});

// First come, first served, without preemption: the baseline against which the
// default policy is measured.
hooks BaselineHooks(const work::platform_bounds& bounds = {});

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_HOOKS_H_
