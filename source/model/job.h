// Jobs: what a caller asks for, where it stands, and on which workers it is
// placed.

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
// high bits, the record's index in its batch in the low ones. It only grows, so
// the fence of an accepted placement is its fencing token.
using fence = std::uint64_t;

struct job_spec {
  const workspace_id owner;
  // The kind of work, by which run times are learned ("wear-check").
  const std::string kind;
  const shape capacity;
  const duration declared_run_time{0};
  // Higher goes first.
  const std::int32_t priority = 0;
  const bool preemptible = false;
  const idempotency_key key;

  bool operator==(const job_spec&) const = default;
};

enum class job_phase {
  kWaiting,
  kHolding,   // placed; members are being held
  kStarting,  // every member is held; members are being started
  kRunning,   // every member runs
  kStopping,  // members are being checkpointed or stopped
  kFinished,
  kFailed,
  kCancelled,
};

// Why a gang was stopped, which decides what becomes of the job.
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
  // Placements that failed in a member; bounded by limits::max_attempts.
  const std::uint32_t failed_attempts = 0;
  // Position of the submission; ties of priority go by it.
  const fence submitted = 0;
  const timestamp submitted_at;
  // Start of the present phase.
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

// A guaranteed shape by its owner and name.
struct guarantee_id {
  const workspace_id owner;
  const std::string name;

  auto operator<=>(const guarantee_id&) const = default;
};

// The workers that hold a job's gang.
// Invariant: `members` name distinct workers. `token` is the position of the
// accepted record, so a later placement of the job has a higher one.
struct placement {
  const fence token = 0;
  const std::uint32_t accelerators = 0;
  // True when the capacity counts as firm: it is never preempted.
  const bool firm = false;
  // The guaranteed shape that this placement claims, if any.
  const std::optional<guarantee_id> claims;
  const std::vector<member> members{};

  bool operator==(const placement&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_JOB_H_
