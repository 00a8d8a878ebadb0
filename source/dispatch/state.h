// The state that the reducer passes on. Tables give out constant rows, which
// are replaced whole.

#ifndef PARSLEYHITCH_DISPATCH_STATE_H_
#define PARSLEYHITCH_DISPATCH_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "model/value_cell.h"
#include "model/value_table.h"
#include "records/ledger.h"
#include "work/effect.h"

namespace parsleyhitch::dispatch {

using work::call_number;
using work::duration;
using work::timestamp;

// Reading of one of the store's streams.
// Invariant: `position` is meaningful once `whole` is true.
struct feed_state {
  // The newest item of each key was read; from now on it is followed.
  bool whole = false;
  std::uint64_t position = 0;
  // While pages of the newest items are read: where following starts, and the
  // key after which the next page starts.
  std::optional<std::uint64_t> first_end;
  std::string page_after;
  std::set<std::string> page_keys;

  std::optional<call_number> in_flight;
  timestamp sent_at;
  // Everything stored before this time has been read.
  timestamp confirmed_at;
  timestamp next_at;

  bool operator==(const feed_state&) const = default;
};

struct queued_record {
  work::record content;
  // The call that waits for it, if any.
  std::optional<call_number> caller;

  bool operator==(const queued_record&) const = default;
};

// Group commit of one writer: at most one append is under way, and one whose
// fate is unknown is repeated unchanged until it is known.
struct outbox {
  std::string writer;
  std::uint64_t epoch = 0;
  // Of the append under way, or of the next one.
  std::uint64_t sequence = 0;
  std::deque<queued_record> waiting;
  std::vector<queued_record> batch;
  std::optional<call_number> in_flight;
  timestamp sent_at;
  timestamp next_at;
  // The batch may have been stored by an earlier try.
  bool maybe_stored = false;

  bool operator==(const outbox&) const = default;
};

enum class call_stage {
  kStoring,     // its record waits for the store
  kConfirming,  // an unknown job is looked for in the newest records
  kRelayed,     // a peer was asked to settle it
};

// A call that waits for its answer.
struct open_call {
  work::client_call content;
  timestamp arrived;
  timestamp deadline;
  call_stage stage = call_stage::kStoring;
  work::job_id job;
  // Its record was part of an append that may have been stored.
  bool maybe_stored = false;
  // The peer that relayed the call, and the peer's number of it.
  std::string relayed_by;
  call_number their_call = 0;

  bool operator==(const open_call&) const = default;
};

enum class role { kFollower, kCandidate, kLeader };

// Who leads, as far as this entry knows, and its own part in it.
struct leadership {
  role mine = role::kFollower;
  // Highest elected epoch heard of in records, heartbeats or refusals.
  std::uint64_t epoch = 0;
  std::string leader_address;
  timestamp heard_at;
  timestamp leader_reached_store_at;
  // By its last heartbeat, the leader reached the store.
  bool leader_reaches_store = false;
  std::optional<timestamp> resigning_since;

  // A candidate's claim, repeated unchanged until its fate is known.
  std::optional<call_number> claim;
  std::uint64_t claim_epoch = 0;
  std::uint64_t claim_sequence = 0;
  bool claim_maybe_stored = false;
  timestamp next_claim_at;

  // A leader's heartbeats.
  std::uint64_t heartbeat = 0;
  timestamp next_heartbeat_at;
  // When what each member replied was true.
  std::map<work::entry_id, timestamp> replies;
  // Confirmations from before this time don't count: the process stood still.
  timestamp doubted_at;

  bool operator==(const leadership&) const = default;
};

// One worker as the leader knows it.
struct worker_row {
  // As the registry lists it; absent while only progress records name it.
  model::value_cell<work::registered_worker> entry;
  bool is_listed = true;
  timestamp unlisted_since;
  // The worker has answered an order of this epoch.
  bool fenced = false;
  // Its clock in an answer, and when that was received.
  std::optional<duration> clock;
  timestamp clock_at;
  // The longest lease it was given, on its clock.
  duration lease_until{0};
  // Without a clock: when whatever an earlier leader started has lapsed.
  timestamp lapsed_by;

  std::optional<call_number> hold;
  timestamp hold_sent_at;
  // The ends that the hold under way acknowledges.
  std::uint64_t hold_acknowledges = 0;
  timestamp next_hold_at;
  timestamp answered_at;
  // Orders without an answer since the last answer.
  std::uint32_t silent = 0;

  // Ends that were taken into progress, whose progress is stored, and that the
  // worker was told of.
  std::uint64_t noted = 0;
  std::uint64_t durable = 0;
  std::uint64_t acknowledged = 0;

  // Failures since the last task that went well, of different jobs.
  std::uint32_t failures = 0;
  work::job_id last_failed;
  timestamp shunned_until;

  // What the registry says, or nothing known of it.
  const work::registered_worker& listed() const {
    static const work::registered_worker unknown{};
    return entry.Get() == nullptr ? unknown : *entry.Get();
  }

  bool operator==(const worker_row&) const = default;
};

enum class member_state {
  kOrdered,     // told to start; not known whether it runs
  kUnverified,  // an earlier leader placed it; the worker was not asked yet
  kRunning,
  kEnded,
};

// One task of a placed unit.
struct member {
  work::worker_id worker;
  member_state state = member_state::kOrdered;
  bool stopping = false;
  std::optional<call_number> order;
  timestamp next_order_at;
  std::uint32_t tries = 0;
  // A start had no answer: it may still be carried out.
  bool start_pending = false;
  // Lists that were asked for later than this show the task or it is not there.
  std::optional<timestamp> settled_at;

  bool operator==(const member&) const = default;
};

enum class unit_phase { kWaiting, kPlaced, kDone };

// Invariant: a waiting unit has no members. A done one may still have members
// whose ends are not listed yet.
struct unit {
  unit_phase phase = unit_phase::kWaiting;
  std::uint32_t failures = 0;
  // Times it was stopped for more important work.
  std::uint32_t preemptions = 0;
  std::uint64_t attempt = 0;
  std::string checkpoint;
  std::vector<member> members;
  // Attempts whose failure is counted. Those below the one that was restored
  // are counted too, though not listed here.
  std::set<std::uint64_t> failed_attempts;
  std::uint64_t restored_attempt = 0;
  // Workers on which an attempt failed.
  std::set<work::worker_id> failed_on;
  timestamp since;

  bool operator==(const unit&) const = default;
};

using step_key = std::pair<std::uint32_t, std::uint32_t>;

// A job that the leader works on.
struct live_job {
  model::value_cell<work::submission> content;
  std::uint64_t accepted = 0;
  work::job_phase phase = work::job_phase::kQueued;
  // Steps, by occurrence and index, whose units exist; and those that are done.
  std::set<step_key> opened;
  std::set<step_key> finished;

  bool operator==(const live_job&) const = default;
};

struct stray_id {
  work::worker_id worker;
  work::task_id task;

  auto operator<=>(const stray_id&) const = default;
};

// A task that runs though no unit of the leader has it there.
struct stray {
  std::uint64_t attempt = 0;
  work::resources need;
  timestamp next_order_at;

  bool operator==(const stray&) const = default;
};

// The member that an order in flight is about.
struct order_reference {
  work::unit_id unit;
  std::uint32_t member = 0;
  std::uint64_t attempt = 0;

  bool operator==(const order_reference&) const = default;
};

// What a worker has to carry: each of its tasks by unit and member, what they
// need, and how much of that is being stopped.
struct worker_load {
  std::set<std::pair<work::unit_id, std::uint32_t>> tasks;
  work::resources used;
  work::resources leaving;

  bool operator==(const worker_load&) const = default;
};

// What only the leader holds; it starts empty with each election.
struct leader_state {
  std::uint64_t epoch = 0;
  timestamp elected_at;
  // Records below this position are from before the election.
  std::uint64_t caught_up_at = 0;
  bool restored = false;
  bool settled = false;
  // The leader before may have started tasks that no record names, on workers
  // that were not reached yet.
  bool cautious = false;
  model::value_table<work::job_id, live_job> jobs;
  model::value_table<work::unit_id, unit> units;
  model::value_table<work::worker_id, worker_row> workers;
  model::value_table<work::worker_id, worker_load> loads;
  model::value_table<stray_id, stray> strays;
  model::value_table<call_number, order_reference> orders;
  outbox progress;
  std::set<work::job_id> unsaved;
  // For each append under way: ends that become durable with it.
  std::map<work::worker_id, std::uint64_t> saving;
  bool plan_due = false;
  timestamp next_plan_at;

  bool operator==(const leader_state&) const = default;
};

struct shutdown_state {
  bool asked = false;
  timestamp stop_at;

  bool operator==(const shutdown_state&) const = default;
};

struct state {
  timestamp now;
  std::uint64_t incarnation = 0;
  // Advances with each use (splitmix64).
  std::uint64_t random = 0;
  call_number last_call = 0;
  timestamp next_tick_at;
  timestamp wake_set_for;
  feed_state records;
  feed_state catalogs;
  feed_state workers;
  // Since when no call to the store has succeeded; absent while they do.
  std::optional<timestamp> store_trouble_since;
  // When calls to the store last succeeded again; the epoch when none failed.
  timestamp store_regained_at;
  records::ledger ledger;
  model::value_cell<work::published_catalog> in_force;
  outbox submissions;
  model::value_table<call_number, open_call> calls;
  // Reads that were sent to confirm that a job is not known.
  std::map<call_number, timestamp> confirming;
  leadership lead;
  leader_state mine;
  shutdown_state shutdown;

  bool operator==(const state&) const = default;
};

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_STATE_H_
