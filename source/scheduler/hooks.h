// Behaviour that varies, as functions given at construction. Each mechanism
// that keeps an invariant is a hook, so a proof can put the naive one in its
// place and show the failure that the mechanism prevents.

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

// What is known of a request when its caller must be refused.
struct dispatch_view {
  // Calls to endpoints that may have delivered the request.
  const std::uint32_t ambiguous_attempts = 0;
  bool operator==(const dispatch_view&) const = default;
};

// Which sources say that a worker is leaving.
struct leaving_view {
  const bool listed = false;
  const bool told_by_endpoint = false;
  const bool told_by_peer = false;
  bool operator==(const leaving_view&) const = default;
};

// The attempt an answer belongs to, and the one its request waits for.
struct attempt_view {
  const std::uint32_t answered = 0;
  const std::uint32_t awaited = 0;
  bool operator==(const attempt_view&) const = default;
};

// Work in hand when a graceful shutdown is considered.
struct drain_view {
  const std::uint64_t open_requests = 0;
  const std::uint64_t open_calls = 0;
  const std::uint64_t unfolded_records = 0;
  const bool timed_out = false;
  bool operator==(const drain_view&) const = default;
};

using guarantee_rule = std::function<bool(const model::capacity&,
                                          std::uint32_t total,
                                          std::uint32_t accelerators)>;

// What a plan is bound by besides the ledger.
struct plan_rules {
  const model::limits& limits;
  const guarantee_rule& leaves_guarantees;
};

// What the order of requests goes by.
struct request_view {
  const model::importance rank = model::importance::kBatch;
  const model::timestamp received;
  const model::timestamp deadline;
  bool operator==(const request_view&) const = default;
};

struct request_order {
  const std::int64_t major = 0;
  const std::int64_t minor = 0;
  auto operator<=>(const request_order&) const = default;
};

struct hooks {
  // Stable across processes and machines.
  std::function<std::uint64_t(std::string_view)> hash;

  // Which jobs to place and preempt next: job_placed and job_preempted records.
  std::function<std::vector<model::record>(const model::ledger&,
                                           model::timestamp,
                                           const plan_rules&)>
      plan;

  // Place of a request in line: the lowest goes first, then the earlier call.
  std::function<request_order(const request_view&)> order_request;
  // Of an entry's slots, how many only urgent requests may use.
  std::function<std::uint32_t(const model::limits&, std::uint32_t slots)>
      urgent_slots;
  // May a request be refused early because its wait would outlast its deadline,
  // or shed for a more important one?
  std::function<bool(const request_view&)> may_shed;

  // Wait before retry `attempt` (from 1), given a random number.
  std::function<model::duration(const model::limits&,
                                std::uint32_t attempt,
                                std::uint64_t random)>
      backoff;

  // Invariant 1: may firm work take `accelerators` more of a worker with
  // `total`?
  guarantee_rule leaves_guarantees;
  // Invariant 2: may this member be started?
  std::function<bool(const model::placement&, const model::member&)> may_start;
  // Invariant 3: does the answer belong to the request that waits?
  std::function<bool(const attempt_view&)> answers_request;
  // Invariant 4: what is truthfully said of a request that got no answer.
  std::function<model::run_state(const dispatch_view&)> refusal_state;
  // Invariant 5: may this incarnation run the request under this claim?
  std::function<bool(const model::request_claim*, const model::writer& self)>
      may_run_once;
  // Invariant 6: is the worker to get no new work?
  std::function<bool(const leaving_view&)> is_leaving;
  // Invariant 7: may the process stop now?
  std::function<bool(const drain_view&)> may_stop;
  // Invariant 8: does the manifest take effect over the one in force?
  std::function<bool(const model::manifest* in_force,
                     const model::manifest& proposed)>
      supersedes;
};

// The hooks of the product.
hooks DefaultHooks();

// The baseline that the policy is measured against: first come first served for
// jobs and requests, first fit, no reserved starts, no shares, no shedding.
hooks BaselineHooks();

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_HOOKS_H_
