// Behaviour that varies, as functions that are passed in at construction. Each
// mechanism that keeps an invariant is a hook, so that a test can substitute a
// naive version and show the failure that the mechanism prevents.

#ifndef PARSLEYHITCH_SCHEDULER_HOOKS_H_
#define PARSLEYHITCH_SCHEDULER_HOOKS_H_

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "model/ledger.h"
#include "model/limits.h"
#include "model/message.h"
#include "model/record.h"

namespace parsleyhitch::scheduler {

// What is known about a request that is answered without a result.
struct dispatch_view {
  // Endpoint calls that may have delivered the request.
  const std::uint32_t ambiguous_attempts = 0;
  bool operator==(const dispatch_view&) const = default;
};

// Which sources report that a worker is leaving.
struct leaving_view {
  // Marked as leaving in the platform's VM list.
  const bool listed = false;
  const bool reported_by_endpoint = false;
  const bool reported_by_peer = false;
  bool operator==(const leaving_view&) const = default;
};

// The attempt that an answer belongs to, and the attempt that its request is
// waiting for.
struct attempt_view {
  const std::uint32_t answered = 0;
  const std::uint32_t awaited = 0;
  bool operator==(const attempt_view&) const = default;
};

// Unfinished work of an entry that is shutting down gracefully.
struct drain_view {
  const std::uint64_t open_requests = 0;
  const std::uint64_t open_calls = 0;
  // Records of this entry that have not been read back from the log.
  const std::uint64_t pending_records = 0;
  const bool timed_out = false;
  bool operator==(const drain_view&) const = default;
};

// Whether firm work may take `accelerators` more of a worker that has `total`
// accelerators and the given use.
using guarantee_rule = std::function<bool(const model::capacity&,
                                          std::uint32_t total,
                                          std::uint32_t accelerators)>;

// Constraints on a plan that are not in the ledger.
struct plan_rules {
  const model::limits& limits;
  const guarantee_rule& leaves_guarantees;
};

// The properties of a request that determine its position in the queue.
struct request_view {
  const model::importance rank = model::importance::kBatch;
  const model::timestamp received;
  const model::timestamp deadline;
  bool operator==(const request_view&) const = default;
};

// Lower values go first; `minor` decides between equal `major` values.
struct request_order {
  const std::int64_t major = 0;
  const std::int64_t minor = 0;
  auto operator<=>(const request_order&) const = default;
};

struct hooks {
  // A hash that is the same in all processes and on all machines.
  std::function<std::uint64_t(std::string_view)> hash;

  // The jobs to place and to preempt next, as job_placed and job_preempted
  // records.
  std::function<std::vector<model::record>(const model::ledger&,
                                           model::timestamp,
                                           const plan_rules&)>
      plan;

  // Position of a request in the queue: the lowest goes first; among equals,
  // the earlier call.
  std::function<request_order(const request_view&)> order_request;
  // How many of an entry's slots are reserved for urgent requests.
  std::function<std::uint32_t(const model::limits&, std::uint32_t slots)>
      urgent_slots;
  // Whether a request may be refused early because it would miss its deadline,
  // or be shed in favour of a more important one.
  std::function<bool(const request_view&)> may_shed;

  // Delay before retry number `attempt`, counted from 1. `random` is uniformly
  // distributed over 64 bits.
  std::function<model::duration(const model::limits&,
                                std::uint32_t attempt,
                                std::uint64_t random)>
      backoff;

  // Invariant 1: whether firm work may take more of a worker and still leave
  // its guaranteed capacity.
  guarantee_rule leaves_guarantees;
  // Invariant 2: whether this gang member may be started.
  std::function<bool(const model::placement&, const model::member&)> may_start;
  // Invariant 3: whether an answer belongs to the attempt that the request is
  // waiting for.
  std::function<bool(const attempt_view&)> answers_request;
  // Invariant 4: what the caller is told about whether a request without an
  // answer was run.
  std::function<model::run_state(const dispatch_view&)> refusal_state;
  // Invariant 5: whether this incarnation may run the request under this claim.
  std::function<bool(const model::request_claim*, const model::writer& self)>
      may_run_once;
  // Invariant 6: whether the worker is leaving and must get no new work.
  std::function<bool(const leaving_view&)> is_leaving;
  // Invariant 7: whether a draining process may stop now.
  std::function<bool(const drain_view&)> may_stop;
  // Invariant 8: whether the proposed manifest replaces the one in force, which
  // is null before the first.
  std::function<bool(const model::manifest* in_force,
                     const model::manifest& proposed)>
      supersedes;
};

// The hooks used in production.
hooks DefaultHooks();

// The baseline that the production policy is compared with: jobs and requests
// first come first served, first-fit placement, no reserved starts, no slots
// reserved for urgent requests, no load shedding.
hooks BaselineHooks();

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_HOOKS_H_
