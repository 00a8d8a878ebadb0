// What an entry exchanges with its peers, workers and callers, as values. How
// they are encoded is the business of package wire.

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

// Sent to every peer each heartbeat interval.
struct heartbeat {
  const entry_id from;
  const std::uint64_t incarnation = 0;
  const std::uint64_t next_offset = 0;
  // False while the sender can't read the log: peers then send it batches.
  const bool log_readable = false;
  const bool draining = false;
  // Workers that the sender sees leaving; told at once, before the log tells
  // it.
  const std::vector<worker_id> leaving{};
  // Has folded the log to its end; one that has not takes no part in routing.
  const bool ready = false;
  bool operator==(const heartbeat&) const = default;
};

// Batches passed on to a peer that can't read the log.
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

// The whole of what a worker is to hold and run. It renews the lease of each
// task it names; a task it does not name is stopped. A worker refuses a sync
// whose `as_of` is below the highest it has seen.
struct worker_sync {
  const std::uint64_t as_of = 0;
  const duration lease{0};
  const std::vector<task_instruction> tasks{};
  bool operator==(const worker_sync&) const = default;
};

// The worker's answer to a sync.
struct worker_report {
  // False when the sync was fenced off as older than one already seen.
  const bool accepted = false;
  const bool leaving = false;
  const std::vector<task_report> tasks{};
  bool operator==(const worker_report&) const = default;
};

// Whether refused work was run. The only claims made to a caller.
enum class run_state { kNotApplicable, kNotRun, kOutcomeUnknown };

enum class answer_kind {
  kAnswered,  // an endpoint's whole answer
  kAccepted,  // a job or manifest is in the log
  kFound,     // a read of a job or of the status
  kInvalid,   // findings say why
  kConflict,  // a key reused with another body, or a stale base
  kNotFound,
  kOverloaded,   // shed or over a limit; retry later
  kUnavailable,  // draining, or the log is away
  kDeadline,     // the deadline passed
};

// A job as a caller reads it.
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
  // Why the shape can't be reclaimed now; empty when it can.
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

// An entry's summary for operators.
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

// The one answer to one call.
struct answer {
  const answer_kind kind = answer_kind::kAnswered;
  const run_state ran = run_state::kNotApplicable;
  const findings faults{};
  // Zero when there is no use in a retry.
  const duration retry_after{0};
  const std::optional<job_view> job;
  const std::optional<status_view> status;
  const std::optional<std::uint64_t> version;
  // An endpoint's status and whole body; set for kAnswered only.
  const std::uint32_t endpoint_status = 0;
  const std::string body;
  bool operator==(const answer&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_MESSAGE_H_
