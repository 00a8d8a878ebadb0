// Messages that an entry exchanges with peers, workers and callers, as values.
// Package wire encodes them.

#ifndef PARSLEYHITCH_MODEL_MESSAGE_H_
#define PARSLEYHITCH_MODEL_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "model/finding.h"
#include "model/identifier.h"
#include "model/job.h"
#include "model/manifest.h"
#include "model/record.h"

namespace parsleyhitch::model {

// Sent to every peer once per heartbeat interval.
struct heartbeat {
  const entry_id from;
  const std::uint64_t incarnation = 0;
  const std::uint64_t next_offset = 0;
  // While false, the sender can't read the log and peers relay batches to it.
  const bool log_readable = false;
  const bool draining = false;
  // Workers that announced to the sender that they are leaving. Peers learn of
  // it here sooner than from the log.
  const std::vector<worker_id> leaving{};
  // True once the sender has applied the log to its end. Until then it takes no
  // part in routing.
  const bool ready = false;
  bool operator==(const heartbeat&) const = default;
};

// Log batches for a peer that can't read the log itself.
struct batches_relayed {
  const entry_id from;
  const std::vector<logged_batch> batches{};
  bool operator==(const batches_relayed&) const = default;
};

using peer_message = std::variant<heartbeat, batches_relayed>;

enum class task_order { kHold, kRun, kCheckpoint, kStop };

struct task_instruction {
  const job_id job;
  const fence token = 0;
  const std::uint32_t accelerators = 0;
  const task_order order = task_order::kHold;
  bool operator==(const task_instruction&) const = default;
};

// The complete set of tasks that a worker is to hold and run. It renews the
// lease of each task listed; the worker stops any task that is not. A worker
// rejects a sync whose `as_of` is below the highest that it has seen.
struct worker_sync {
  const std::uint64_t as_of = 0;
  const duration lease{0};
  const std::vector<task_instruction> tasks{};
  bool operator==(const worker_sync&) const = default;
};

// The worker's answer to a sync.
struct worker_report {
  // False if the worker rejected the sync as older than one already seen.
  const bool accepted = false;
  const bool leaving = false;
  const std::vector<task_report> tasks{};
  bool operator==(const worker_report&) const = default;
};

// Whether the work of a refused request was run. Callers are told no more about
// it than this.
enum class run_state { kNotApplicable, kNotRun, kOutcomeUnknown };

enum class answer_kind {
  kAnswered,  // an endpoint's complete answer
  kAccepted,  // the job or manifest is in the log
  kFound,     // the result of reading a job or the status
  kInvalid,   // `faults` lists the reasons
  kConflict,  // idempotency key reused with another body, or a stale base
  kNotFound,
  kOverloaded,   // shed, or over a limit; retry later
  kUnavailable,  // the entry is draining, or the log is unreachable
  kDeadline,     // the deadline passed
};

// A job's state as shown to callers.
struct job_view {
  const job_id job;
  const job_phase phase = job_phase::kWaiting;
  const stop_reason reason = stop_reason::kNone;
  const std::uint32_t failed_attempts = 0;
  const std::vector<member> members{};
  bool operator==(const job_view&) const = default;
};

struct guarantee_view {
  const guarantee_id id;
  const bool claimed = false;
  // Why the workspace can't get the shape now; empty if it can.
  const std::string shortfall;
  bool operator==(const guarantee_view&) const = default;
};

struct peer_view {
  const entry_id entry;
  const bool alive = false;
  const bool draining = false;
  const std::uint64_t next_offset = 0;
  bool operator==(const peer_view&) const = default;
};

// An entry's status as shown to operators.
struct status_view {
  const entry_id entry;
  const std::uint64_t next_offset = 0;
  const bool log_readable = false;
  const bool draining = false;
  const std::uint64_t manifest_version = 0;
  const std::uint64_t jobs_waiting = 0;
  const std::uint64_t jobs_placed = 0;
  const std::uint64_t workers_live = 0;
  const std::uint64_t workers_leaving = 0;
  const std::uint64_t workers_lost = 0;
  const std::uint64_t accelerators_firm = 0;
  const std::uint64_t accelerators_soft = 0;
  const std::uint64_t accelerators_reserved = 0;
  const std::uint64_t accelerators_total = 0;
  const std::uint64_t requests_open = 0;
  const std::vector<guarantee_view> guarantees{};
  const std::vector<peer_view> peers{};
  bool operator==(const status_view&) const = default;
};

// The answer to a call. Each call gets exactly one.
struct answer {
  const answer_kind kind = answer_kind::kAnswered;
  const run_state ran = run_state::kNotApplicable;
  const findings faults{};
  // Zero if a retry is pointless.
  const duration retry_after{0};
  const std::optional<job_view> job;
  const std::optional<status_view> status;
  const std::optional<std::uint64_t> version;
  // The endpoint's HTTP status and complete body; set for kAnswered only.
  const std::uint32_t endpoint_status = 0;
  const std::string body;
  bool operator==(const answer&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_MESSAGE_H_
