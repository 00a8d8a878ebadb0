// The values that the ledger's tables hold.

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
  // Members failed on this worker since the last that did not.
  const std::uint32_t failures = 0;
  // The job that failed here last; it is not placed here again meanwhile.
  const job_id last_failed;
  // No placement before this time; the first after it is a trial.
  const timestamp ejected_until;

  bool operator==(const worker_status&) const = default;
};

// A worker's accelerators by use.
// Invariant: firm + soft <= accelerators. firm + reserved <= accelerators
// unless a guarantee is reported short.
struct capacity {
  const std::uint32_t firm = 0;
  const std::uint32_t soft = 0;
  const std::uint32_t reserved = 0;

  bool operator==(const capacity&) const = default;
};

// A guaranteed shape: reserved on `workers` while unclaimed, held by
// `claimed_by` while claimed, short when neither.
struct guarantee_status {
  const shape capacity;
  const std::vector<worker_id> workers{};
  const std::optional<job_id> claimed_by;
  const std::string shortfall;

  bool operator==(const guarantee_status&) const = default;
};

// Place in the queue: higher priority first, then earlier submission.
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

struct scoped_key {
  const workspace_id owner;
  const idempotency_key key;

  auto operator<=>(const scoped_key&) const = default;
};

enum class request_outcome { kAnswered, kNotRun, kUnknown };

// How a non-idempotent request ended.
struct request_result {
  const request_outcome outcome = request_outcome::kAnswered;
  const std::uint32_t status = 0;
  const std::string body;

  bool operator==(const request_result&) const = default;
};

// The entry that may run a non-idempotent request, and the result once known.
struct request_claim {
  const std::uint64_t digest = 0;
  const entry_id by;
  const std::uint64_t incarnation = 0;
  const timestamp at;
  const std::optional<request_result> result;

  bool operator==(const request_claim&) const = default;
};

// The job that a caller's idempotency key stands for.
struct job_key {
  const job_id job;

  bool operator==(const job_key&) const = default;
};

// Actual run time over declared, per mille, as a moving average.
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

// One incarnation of an entry, as an author of batches.
struct writer {
  const entry_id entry;
  const std::uint64_t incarnation = 0;

  auto operator<=>(const writer&) const = default;
};

// A worker in the placement index, ordered by the accelerators that are free of
// firm and soft work.
struct free_slot {
  const std::uint32_t free = 0;
  const worker_id worker;

  auto operator<=>(const free_slot&) const = default;
};

struct rack_name {
  const failure_domain_id failure_domain;
  const rack_id rack;

  auto operator<=>(const rack_name&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_LEDGER_VALUES_H_
