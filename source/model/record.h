// Records of the platform's log. Every entry applies the same records in the
// same order and so reaches the same ledger.

#ifndef PARSLEYHITCH_MODEL_RECORD_H_
#define PARSLEYHITCH_MODEL_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "model/fleet.h"
#include "model/identifier.h"
#include "model/job.h"
#include "model/ledger_values.h"
#include "model/manifest.h"
#include "model/time.h"

namespace parsleyhitch::model {

// Accepted if `proposed.base` is the version in force and `proposed.version` is
// higher.
struct manifest_published {
  const manifest proposed{};
  bool operator==(const manifest_published&) const = default;
};

struct worker_registered {
  const worker_spec spec;
  bool operator==(const worker_registered&) const = default;
};

struct worker_leaving {
  const worker_id worker;
  bool operator==(const worker_leaving&) const = default;
};

// Entry `by` has not reached the worker for longer than its lease. The worker
// counts as lost once `witnesses` distinct entries suspect it.
struct worker_suspected {
  const worker_id worker;
  const entry_id by;
  const std::uint32_t witnesses = 1;
  bool operator==(const worker_suspected&) const = default;
};

// A lost worker answered again. It becomes live, and the suspicions of it are
// cleared.
struct worker_heard {
  const worker_id worker;
  bool operator==(const worker_heard&) const = default;
};

// The platform no longer lists the worker.
struct worker_removed {
  const worker_id worker;
  bool operator==(const worker_removed&) const = default;
};

struct job_submitted {
  const job_id job;
  const job_spec spec{};
  bool operator==(const job_submitted&) const = default;
};

// An optimistic placement: accepted if it is still feasible at its position in
// the log.
struct job_placed {
  const job_id job;
  const std::vector<worker_id> workers{};
  bool operator==(const job_placed&) const = default;
};

// Stops a preemptible job to free its capacity.
struct job_preempted {
  const job_id job;
  const fence token = 0;
  bool operator==(const job_preempted&) const = default;
};

struct job_cancelled {
  const job_id job;
  bool operator==(const job_cancelled&) const = default;
};

struct task_report {
  const job_id job;
  const fence token = 0;
  const task_state state = task_state::kPending;
  bool operator==(const task_report&) const = default;
};

// A worker's report on its tasks. A report whose token differs from that of the
// job's present placement is stale and ignored.
struct tasks_reported {
  const worker_id worker;
  const std::vector<task_report> tasks{};
  bool operator==(const tasks_reported&) const = default;
};

// The intent to run a non-idempotent request. Of several claims on one key, the
// first in log order wins.
struct request_claimed {
  const workspace_id owner;
  const idempotency_key key;
  const std::uint64_t digest = 0;
  const entry_id by;
  const std::uint64_t incarnation = 0;
  bool operator==(const request_claimed&) const = default;
};

// The outcome of a claimed request. kNotRun releases the key, so that it can be
// claimed again.
struct request_finished {
  const workspace_id owner;
  const idempotency_key key;
  const entry_id by;
  const request_result result;
  bool operator==(const request_finished&) const = default;
};

// The parts of a checkpoint: each holds one item of the ledger's primary
// tables. The indexes are rebuilt from them.
struct saved_head {
  const timestamp clock;
  const std::optional<manifest> in_force;
  bool operator==(const saved_head&) const = default;
};

struct saved_writer {
  const writer name;
  const std::uint64_t last_sequence = 0;
  bool operator==(const saved_writer&) const = default;
};

struct saved_worker {
  const worker_status status;
  bool operator==(const saved_worker&) const = default;
};

struct saved_job {
  const job_id job;
  const job_status status;
  const std::optional<placement> placed;
  bool operator==(const saved_job&) const = default;
};

struct saved_job_key {
  const scoped_key name;
  const job_key key;
  bool operator==(const saved_job_key&) const = default;
};

struct saved_estimate {
  const work_kind kind;
  const run_time_estimate estimate;
  bool operator==(const saved_estimate&) const = default;
};

struct saved_guarantee {
  const guarantee_id id;
  const guarantee_status status;
  bool operator==(const saved_guarantee&) const = default;
};

struct saved_claim {
  const scoped_key name;
  const request_claim claim;
  bool operator==(const saved_claim&) const = default;
};

using checkpoint_part = std::variant<saved_head,
                                     saved_writer,
                                     saved_worker,
                                     saved_job,
                                     saved_job_key,
                                     saved_estimate,
                                     saved_guarantee,
                                     saved_claim>;

// Chunk `index` of a checkpoint of the ledger as of just before offset `upto`.
// A checkpoint has the chunks 0 to `count` - 1 and is ignored if one is
// missing.
struct checkpoint_chunk {
  const entry_id by;
  const std::uint64_t upto = 0;
  const std::uint32_t index = 0;
  const std::uint32_t count = 0;
  const std::vector<checkpoint_part> parts{};
  bool operator==(const checkpoint_chunk&) const = default;
};

using record = std::variant<manifest_published,
                            worker_registered,
                            worker_leaving,
                            worker_suspected,
                            worker_heard,
                            worker_removed,
                            job_submitted,
                            job_placed,
                            job_preempted,
                            job_cancelled,
                            tasks_reported,
                            request_claimed,
                            request_finished,
                            checkpoint_chunk>;

// The payload of one append. An entry appends one batch at a time and retries
// it until it reads the batch back from the log. A batch whose `sequence` is
// not above the last one applied for (`by`, `incarnation`) is therefore a
// duplicate.
struct batch {
  const entry_id by;
  const std::uint64_t incarnation = 0;
  const std::uint64_t sequence = 0;
  const timestamp at;
  const std::vector<record> records{};
  bool operator==(const batch&) const = default;
};

// A batch with its offset in the log.
struct logged_batch {
  const std::uint64_t offset = 0;
  const batch content{};
  bool operator==(const logged_batch&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_RECORD_H_
