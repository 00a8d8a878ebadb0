// The state of one entry: the ledger that all entries share, and what only this
// entry knows. Split by part; each part has its own reducer.

#ifndef PARSLEYHITCH_SCHEDULER_ENTRY_STATE_H_
#define PARSLEYHITCH_SCHEDULER_ENTRY_STATE_H_

#include <array>
#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <vector>

#include "model/event.h"
#include "model/ledger.h"
#include "model/record.h"
#include "model/value_cell.h"
#include "model/value_table.h"
#include "scheduler/checkpoint.h"
#include "scheduler/hooks.h"

namespace parsleyhitch::scheduler {

enum class alarm_kind {
  kHeartbeat,
  kReadVmList,
  kReadLog,
  kAppend,
  kSyncWorker,
  kCallDeadline,
  kRetryRequest,
  kReadmitEndpoint,
  kPlan,
  kDrain,
};

// Something to look at again at a time. `worker` and `call` name the subject,
// where there is one.
struct alarm {
  const model::timestamp at;
  const alarm_kind kind = alarm_kind::kHeartbeat;
  const model::worker_id worker;
  const model::call_number call = 0;

  auto operator<=>(const alarm&) const = default;
};

// What waits for the verdict on a record of this entry.
enum class waiter_kind { kNobody, kJob, kCancel, kManifest, kClaim, kPlan };

struct waiter {
  const waiter_kind kind = waiter_kind::kNobody;
  const model::call_number call = 0;
  bool operator==(const waiter&) const = default;
};

struct pending_record {
  const model::record content{};
  const waiter waits;
  bool operator==(const pending_record&) const = default;
};

// Lists rather than deques: moving a list allocates nothing.
struct log_state {
  bool readable = false;
  bool caught_up = false;
  // Set while the records before the oldest one kept are needed: the entry
  // looks for a complete checkpoint from `recover_from` on.
  bool recovering = false;
  std::uint64_t recover_from = 0;
  // The oldest offset that the log still had at the last read.
  std::uint64_t first_offset = 0;
  checkpoint_collector collector;

  // Records not yet in a batch.
  std::list<pending_record> queue;
  // The one batch that is appended, repeated until it is read back.
  model::value_cell<model::batch> in_flight;
  std::vector<waiter> in_flight_waiters;
  bool append_open = false;
  std::uint64_t next_sequence = 1;
  model::timestamp last_append;
  model::timestamp next_append;

  // For peers that can't read the log.
  std::list<model::logged_batch> recent;
  std::uint64_t batches_since_checkpoint = 0;
  // A restart from the last checkpoint needs the records from here on.
  std::uint64_t checkpoint_upto = 0;
  model::timestamp last_checkpoint;
};

struct peer_status {
  const std::uint64_t incarnation = 0;
  const model::timestamp last_heard;
  const std::uint64_t next_offset = 0;
  const bool draining = false;
  const bool ready = false;
  bool operator==(const peer_status&) const = default;
};

struct peers_state {
  model::value_table<model::entry_id, peer_status> peers;
  // Entries that are ready and not draining, sorted; this one may be among
  // them.
  std::vector<model::entry_id> alive;
  model::value_table<model::worker_id, leaving_view> leaving;
  // VM lists in a row that lack a worker.
  model::value_table<model::worker_id, std::uint32_t> unlisted;
};

// This entry's care for one worker that it is the home of.
struct drive {
  // The sync under way; 0 for none.
  const std::uint64_t call = 0;
  const model::timestamp sent_at;
  // Start of the last sync that was answered, or when the care began.
  const model::timestamp last_ok;
  const model::timestamp next_due;
  // The tasks changed while a sync was under way.
  const bool again = false;
  bool operator==(const drive&) const = default;
};

// What this entry has reported of a task and not yet read back.
struct reported_task {
  const model::fence token = 0;
  const model::task_state state = model::task_state::kPending;
  bool operator==(const reported_task&) const = default;
};

struct task_name {
  const model::worker_id worker;
  const model::job_id job;
  auto operator<=>(const task_name&) const = default;
};

struct workers_state {
  model::value_table<model::worker_id, drive> drives;
  model::value_table<task_name, reported_task> reported;
  std::uint64_t next_call = 1;
};

// A call that waits for a record's verdict.
struct open_call {
  const waiter_kind kind = waiter_kind::kNobody;
  const model::timestamp deadline;
  // The job that it submits or cancels.
  const model::job_id job;
  bool operator==(const open_call&) const = default;
};

struct calls_state {
  model::value_table<model::call_number, open_call> open;
  bool plan_due = false;
  // Records of the last plan that are not read back yet. The next plan waits
  // for them, so that it sees what became of the last.
  std::uint32_t planned_records = 0;
  model::timestamp next_plan;
  // The pending alarm for a plan; the epoch when there is none.
  model::timestamp plan_alarm;
};

// What a caller asked of a service, as admitted.
struct open_request {
  const model::service_id target;
  const model::workspace_id owner;
  const model::importance rank = model::importance::kBatch;
  const bool idempotent = true;
  const model::idempotency_key key;
  const model::timestamp received;
  const model::timestamp deadline;
  const std::uint64_t digest = 0;
  const request_order order;
  const std::string body;
  bool operator==(const open_request&) const = default;
};

enum class request_phase {
  kClaiming,       // its claim is on the way to the log
  kAwaitingOther,  // another holder of the key runs it
  kQueued,
  kCalling,
  kBackingOff,
};

struct request_progress {
  const request_phase phase = request_phase::kQueued;
  // Number of the last attempt; 0 before the first.
  const std::uint32_t attempt = 0;
  const std::uint32_t ambiguous_attempts = 0;
  const model::worker_id worker;
  // The entry holds the claim of the key.
  const bool claimed = false;
  bool operator==(const request_progress&) const = default;
};

// Place in the line of requests.
struct request_position {
  const request_order order;
  const model::call_number call = 0;

  auto operator<=>(const request_position&) const = default;
};

struct endpoint_load {
  const std::uint32_t in_flight = 0;
  const std::uint32_t failures = 0;
  const model::timestamp ejected_until;
  // Position among equals, so that equals take turns.
  const std::uint64_t turn = 0;
  // This entry's share of the endpoint's slots; 0 while it may not be called.
  const std::uint32_t slots = 0;
  bool operator==(const endpoint_load&) const = default;
};

struct endpoint_rank {
  const std::uint32_t in_flight = 0;
  const std::uint64_t turn = 0;
  const model::worker_id worker;
  auto operator<=>(const endpoint_rank&) const = default;
};

// One call to an endpoint under way.
struct endpoint_call {
  const model::worker_id worker;
  const std::uint32_t attempt = 0;
  const model::timestamp sent_at;
  const model::importance rank = model::importance::kBatch;
  bool operator==(const endpoint_call&) const = default;
};

struct requests_state {
  model::value_table<model::call_number, open_request> open;
  model::value_table<model::call_number, request_progress> progress;
  std::set<request_position> queue;
  // Queued requests by importance.
  std::array<std::uint32_t, 3> queued{};
  model::value_table<model::scoped_key, std::set<model::call_number>> by_key;
  model::value_table<model::workspace_id, std::uint32_t> by_workspace;

  model::value_table<model::worker_id, endpoint_load> endpoints;
  // Endpoints that may be called, the least loaded first.
  std::set<endpoint_rank> callable;
  std::uint64_t next_turn = 1;
  std::uint32_t in_flight = 0;
  std::uint32_t in_flight_not_urgent = 0;
  // Sum of the endpoints' slots.
  std::uint32_t total_slots = 0;

  // Calls to endpoints by the call they serve. Each counts as load until it
  // ends, also when its request was answered without it.
  model::value_table<model::call_number, endpoint_call> calls;

  // Retry tokens, in hundredths.
  std::uint32_t retry_budget = 0;
  // Moving averages of an endpoint call by importance, for early refusal.
  std::array<model::duration, 3> mean_call{};
};

struct drain_state {
  bool draining = false;
  bool stopped = false;
  model::timestamp since;
  std::vector<model::call_number> callers;
};

struct entry_state {
  model::ledger ledger;
  model::timestamp now;
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 0;
  std::uint64_t drawn = 0;
  std::set<alarm> agenda;
  model::timestamp next_wake;

  log_state log;
  peers_state peers;
  workers_state workers;
  calls_state calls;
  requests_state requests;
  drain_state drain;
};

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_ENTRY_STATE_H_
