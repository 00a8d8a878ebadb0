// The state of one entry: the ledger, which every entry derives from the log,
// and the state that is local to this entry. It is split into one struct per
// part; each part has its own reducer.

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

enum class timer_kind {
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

// A pending timer. `worker` or `call` names its subject, if it has one.
struct timer {
  const model::timestamp at;
  const timer_kind kind = timer_kind::kHeartbeat;
  const model::worker_id worker;
  const model::call_number call = 0;

  auto operator<=>(const timer&) const = default;
};

// What is notified when a record that this entry appended has been read back
// and accepted or rejected.
enum class waiter_kind { kNone, kJob, kCancel, kManifest, kClaim, kPlan };

struct verdict_waiter {
  const waiter_kind kind = waiter_kind::kNone;
  const model::call_number call = 0;
  bool operator==(const verdict_waiter&) const = default;
};

struct pending_record {
  const model::record content{};
  const verdict_waiter waiter;
  bool operator==(const pending_record&) const = default;
};

// Queues are lists rather than deques: the state is moved through every
// reducer, and moving a list does not allocate.
struct log_state {
  bool readable = false;
  bool caught_up = false;
  // Set while records that the entry still needs have been trimmed from the
  // log: it searches for a complete checkpoint from offset `recover_from` on.
  bool recovering = false;
  std::uint64_t recover_from = 0;
  // The oldest offset that the log retained at the last read.
  std::uint64_t first_offset = 0;
  checkpoint_collector collector;

  // Records that are not in a batch yet.
  std::list<pending_record> queue;
  // The one batch being appended. It is sent again until it is read back.
  model::value_cell<model::batch> in_flight;
  std::vector<verdict_waiter> in_flight_waiters;
  bool append_outstanding = false;
  std::uint64_t next_sequence = 1;
  model::timestamp last_append;
  model::timestamp next_append;

  // The latest batches, relayed to peers that can't read the log.
  std::list<model::logged_batch> relay_buffer;
  std::uint64_t batches_since_checkpoint = 0;
  // A restart from the last checkpoint needs the records from this offset on.
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
  // Entries that are ready and not draining, sorted; may include this entry.
  std::vector<model::entry_id> alive;
  model::value_table<model::worker_id, leaving_view> leaving;
  // By worker: the number of consecutive VM lists that did not contain it.
  model::value_table<model::worker_id, std::uint32_t> unlisted;
};

// The sync protocol with one worker that this entry is responsible for. A sync
// sends the worker all tasks that it is to hold or run and renews its lease.
struct sync_state {
  // The outstanding sync; 0 if there is none.
  const std::uint64_t call = 0;
  const model::timestamp sent_at;
  // When the last answered sync was sent; before the first answer, when this
  // entry became responsible for the worker.
  const model::timestamp last_answered;
  const model::timestamp next_due;
  // The tasks changed during the outstanding sync, so another one must follow.
  const bool resync_needed = false;
  bool operator==(const sync_state&) const = default;
};

// The latest task state that this entry has appended to the log.
struct reported_task {
  const model::fence token = 0;
  const model::task_state state = model::task_state::kPending;
  bool operator==(const reported_task&) const = default;
};

struct task_key {
  const model::worker_id worker;
  const model::job_id job;
  auto operator<=>(const task_key&) const = default;
};

struct workers_state {
  model::value_table<model::worker_id, sync_state> sync_states;
  model::value_table<task_key, reported_task> reported;
  std::uint64_t next_call = 1;
};

// A caller's call that is answered once its record is accepted or rejected.
struct open_call {
  const waiter_kind kind = waiter_kind::kNone;
  const model::timestamp deadline;
  // The job that the call submits or cancels.
  const model::job_id job;
  bool operator==(const open_call&) const = default;
};

struct calls_state {
  model::value_table<model::call_number, open_call> open;
  bool plan_due = false;
  // Records of the last plan that have not been read back. The next plan waits
  // for them, so that it starts from the outcome of the last one.
  std::uint32_t pending_plan_records = 0;
  model::timestamp next_plan;
  // When the pending planning timer fires; the epoch if there is none.
  model::timestamp plan_timer;
};

// An admitted request to a service.
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
  kClaiming,             // its claim has not been read back from the log
  kAwaitingClaimHolder,  // another request with the same key is being run
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
  // This entry holds the claim on the idempotency key.
  const bool claimed = false;
  bool operator==(const request_progress&) const = default;
};

// Sort key of the request queue.
struct request_position {
  const request_order order;
  const model::call_number call = 0;

  auto operator<=>(const request_position&) const = default;
};

struct endpoint_load {
  const std::uint32_t in_flight = 0;
  const std::uint32_t failures = 0;
  const model::timestamp ejected_until;
  // Round-robin position among equally loaded endpoints.
  const std::uint64_t turn = 0;
  // This entry's share of the endpoint's slots; 0 while the endpoint must not
  // be called.
  const std::uint32_t slots = 0;
  bool operator==(const endpoint_load&) const = default;
};

// Sort key of the available endpoints: the least loaded first.
struct endpoint_rank {
  const std::uint32_t in_flight = 0;
  const std::uint64_t turn = 0;
  const model::worker_id worker;
  auto operator<=>(const endpoint_rank&) const = default;
};

// An outstanding call to an endpoint.
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
  // Endpoints with a free slot of this entry's share.
  std::set<endpoint_rank> available_endpoints;
  std::uint64_t next_turn = 1;
  std::uint32_t in_flight = 0;
  std::uint32_t in_flight_non_urgent = 0;
  // Sum of `endpoint_load::slots` over all endpoints.
  std::uint32_t total_slots = 0;

  // Outstanding endpoint calls by the caller's call. Each counts as load until
  // it ends, even after its request has been answered, for example at its
  // deadline.
  model::value_table<model::call_number, endpoint_call> calls;

  // Retry tokens, in hundredths of a token.
  std::uint32_t retry_budget = 0;
  // Moving average of the duration of an endpoint call, by importance. Used to
  // refuse requests early that would miss their deadline.
  std::array<model::duration, 3> mean_call_time{};
};

struct drain_state {
  bool draining = false;
  bool stopped = false;
  model::timestamp since;
  // Calls that asked for the shutdown; answered when the entry stops.
  std::vector<model::call_number> callers;
};

struct entry_state {
  model::ledger ledger;
  model::timestamp now;
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 0;
  // Number of random numbers drawn since the start.
  std::uint64_t random_draws = 0;
  std::set<timer> timers;
  // The wake-up requested last from the runtime; the epoch if there is none.
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
