// Keys and values of the ledger's tables.

#ifndef PARSLEYHITCH_MODEL_LEDGER_VALUES_H_
#define PARSLEYHITCH_MODEL_LEDGER_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/fleet.h"
#include "model/identifier.h"
#include "model/job.h"
#include "model/time.h"

namespace parsleyhitch::model {

enum class worker_phase { kLive, kLeaving, kLost };

struct worker_status {
  const worker_spec spec;
  const worker_phase phase = worker_phase::kLive;
  const std::vector<entry_id> suspected_by{};
  // Members that failed or were refused here since the last one that finished.
  const std::uint32_t failures = 0;
  // The job whose member failed here last; it isn't placed here again. Empty
  // once a member has finished here.
  const job_id last_failed;
  // No placement before this time. The first placement after it is a single
  // member as a probe.
  const timestamp ejected_until;

  bool operator==(const worker_status&) const = default;
};

// A worker's accelerators in firm and in soft placements, and those reserved
// for unclaimed guarantees.
//
// Invariant: firm + soft <= accelerators. Also firm + reserved <= accelerators,
// unless a guarantee is reported as short of capacity.
struct capacity {
  const std::uint32_t firm = 0;
  const std::uint32_t soft = 0;
  const std::uint32_t reserved = 0;

  bool operator==(const capacity&) const = default;
};

// A guaranteed shape: reserved on `workers` while unclaimed, used by the job
// `claimed_by` while claimed, and short of capacity if neither.
struct guarantee_status {
  const shape capacity;
  const std::vector<worker_id> workers{};
  const std::optional<job_id> claimed_by;
  // Why the shape can't be provided now; empty if it can.
  const std::string shortfall;

  bool operator==(const guarantee_status&) const = default;
};

// Sort key of the job queue: higher priority first, then earlier submission.
struct queue_position {
  const std::int32_t priority = 0;
  const fence submitted = 0;
  const job_id job;

  bool operator==(const queue_position&) const = default;
  bool operator<(const queue_position& other) const {
    if (priority != other.priority)
      return priority > other.priority;
    return submitted < other.submitted;
  }
};

// An idempotency key is unique within its workspace.
struct scoped_key {
  const workspace_id owner;
  const idempotency_key key;

  auto operator<=>(const scoped_key&) const = default;
};

enum class request_outcome { kAnswered, kNotRun, kUnknown };

// The outcome of a non-idempotent request.
struct request_result {
  const request_outcome outcome = request_outcome::kAnswered;
  const std::uint32_t status = 0;
  const std::string body;

  bool operator==(const request_result&) const = default;
};

// The entry that owns the run of a non-idempotent request, and the result once
// it is known.
struct request_claim {
  const std::uint64_t digest = 0;
  const entry_id by;
  const std::uint64_t incarnation = 0;
  const timestamp at;
  const std::optional<request_result> result;

  bool operator==(const request_claim&) const = default;
};

// The job that was submitted under an idempotency key.
struct job_key {
  const job_id job;

  bool operator==(const job_key&) const = default;
};

// Moving average of actual over declared run time, in permille.
struct run_time_estimate {
  const std::uint32_t ratio_permille = 1000;
  const std::uint32_t samples = 0;

  bool operator==(const run_time_estimate&) const = default;
};

struct work_kind {
  const workspace_id owner;
  const std::string kind;

  auto operator<=>(const work_kind&) const = default;
};

// The author of a batch: one incarnation of an entry.
struct writer {
  const entry_id entry;
  const std::uint64_t incarnation = 0;

  auto operator<=>(const writer&) const = default;
};

// A worker in the placement index, ordered by its accelerators that are in
// neither a firm nor a soft placement.
struct placement_candidate {
  const std::uint32_t free = 0;
  const worker_id worker;

  auto operator<=>(const placement_candidate&) const = default;
};

// Rack names are unique within their failure domain only.
struct rack_key {
  const failure_domain_id failure_domain;
  const rack_id rack;

  auto operator<=>(const rack_key&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_LEDGER_VALUES_H_
