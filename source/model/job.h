// Jobs: the caller's specification, the present state, and the placement on
// workers.

#ifndef PARSLEYHITCH_MODEL_JOB_H_
#define PARSLEYHITCH_MODEL_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/fleet.h"
#include "model/identifier.h"
#include "model/time.h"

namespace parsleyhitch::model {

// The position of a record in the platform's log: the batch's offset in the
// high bits, the record's index in its batch in the low bits. Positions
// increase monotonically, so the position of an accepted placement serves as
// its fencing token.
using fence = std::uint64_t;

struct job_spec {
  const workspace_id owner;
  // The kind of work, such as "wear-check". Run times are estimated per owner
  // and kind.
  const std::string kind;
  const shape capacity;
  const duration declared_run_time{0};
  // Jobs of higher priority are placed first.
  const std::int32_t priority = 0;
  const bool preemptible = false;
  const idempotency_key key;

  bool operator==(const job_spec&) const = default;
};

enum class job_phase {
  kWaiting,
  kHolding,   // placed; workers are reserving the members' accelerators
  kStarting,  // every member is held; members are being started
  kRunning,   // every member is running
  kStopping,  // members are being checkpointed or stopped
  kFinished,
  kFailed,
  kCancelled,
};

// Why a gang was stopped. Determines how the job proceeds.
enum class stop_reason {
  kNone,
  kPreempted,
  kMemberLost,
  kMemberFailed,
  kCancelled
};

struct job_status {
  const job_spec spec{};
  const job_phase phase = job_phase::kWaiting;
  const stop_reason reason = stop_reason::kNone;
  // Placements in which a member failed; at most limits::max_attempts.
  const std::uint32_t failed_attempts = 0;
  // Position of the submission in the log; orders jobs of equal priority.
  const fence submitted = 0;
  const timestamp submitted_at;
  // When the job entered its present phase.
  const timestamp since;

  bool operator==(const job_status&) const = default;
};

enum class task_state {
  kPending,
  kHeld,
  kRunning,
  kFinished,
  kFailed,
  kRefused,
  kStopped
};

// One member of a gang on its worker.
struct member {
  const worker_id worker;
  const task_state state = task_state::kPending;

  bool operator==(const member&) const = default;
};

// Identifies a workspace's guaranteed shape.
struct guarantee_id {
  const workspace_id owner;
  const std::string name;

  auto operator<=>(const guarantee_id&) const = default;
};

// The workers that hold a job's gang.
// Invariant: `members` are on distinct workers. `token` is the log position of
// the accepted record, so each later placement of the job has a higher token.
struct placement {
  const fence token = 0;
  const std::uint32_t accelerators = 0;
  // Firm capacity is never preempted; soft capacity may be.
  const bool firm = false;
  // The guarantee that this placement uses, if any.
  const std::optional<guarantee_id> claims;
  const std::vector<member> members{};

  bool operator==(const placement&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_JOB_H_
