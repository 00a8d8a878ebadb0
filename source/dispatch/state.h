// The state of the dispatcher. The reducer takes it by value and returns the
// next one. Rows of the tables are immutable and are replaced as a whole.

#ifndef PARSLEYHITCH_DISPATCH_STATE_H_
#define PARSLEYHITCH_DISPATCH_STATE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/change_queue.h"
#include "dispatch/observations.h"
#include "dispatch/orders/failures.h"
#include "dispatch/store/evacuated_domains.h"
#include "model/value_cell.h"
#include "model/value_table.h"
#include "records/ledger.h"
#include "work/effect.h"
#include "work/order.h"

namespace parsleyhitch::dispatch {

using work::call_number;
using work::duration;
using work::timestamp;

// Whether the calls to one stream of the store succeed. The store may be down
// partly.
struct stream_health {
  // Since when every call has failed; empty while calls succeed.
  std::optional<timestamp> failing_since;
  // When the stream last became reachable again after an outage; the clock's
  // epoch if there was none.
  timestamp recovered_at;
  // The same for the last outage that was long enough for entries of the worker
  // registry to expire.
  timestamp outage_ended_at;

  bool operator==(const stream_health&) const = default;
};

// Progress in reading one stream of the store: first a paged snapshot of the
// newest item of each key, then the items after it.
// Invariant: `position` is meaningful once `snapshot_complete` is true.
struct feed_state {
  // All pages of the initial snapshot were read. From then on only items after
  // `position` are read.
  bool snapshot_complete = false;
  std::uint64_t position = 0;
  // The highest end of the stream that an answer of the store named.
  std::uint64_t known_end = 0;
  // While the snapshot is read: the stream's end at its first page, from which
  // reading continues afterwards, and the key after which the next page starts.
  std::optional<std::uint64_t> snapshot_end;
  std::string snapshot_page_after;
  std::set<std::string> snapshot_keys;

  std::optional<call_number> in_flight;
  timestamp sent_at;
  // Every item stored before this time has been read.
  timestamp confirmed_at;
  timestamp next_at;
  // Reads that failed since the last one that was answered.
  std::uint32_t failed_reads = 0;

  bool operator==(const feed_state&) const = default;
};

// Extra reads of the newest records, which make sure that a job is unknown. At
// most one is in flight. It confirms only calls that arrived before it was
// sent; later ones wait for the next.
struct confirming_read_state {
  std::optional<call_number> in_flight;
  // How many were sent, the one in flight included.
  std::uint64_t sent = 0;
  // Items before this have been read, by these or by the feed's own reads.
  std::uint64_t position = 0;
  // A call waits for one that is not sent yet.
  bool due = false;
  timestamp next_at;
  // Reads that failed since the last one that was answered.
  std::uint32_t failed_reads = 0;

  bool operator==(const confirming_read_state&) const = default;
};

struct queued_record {
  work::record content;
  // The client call that is answered once the record is stored, if any.
  std::optional<call_number> caller;
  // For a record of the leader's: the oldest change that it stores.
  std::uint64_t change = 0;
  // The most that it takes in an append.
  std::uint64_t bytes = 0;

  bool operator==(const queued_record&) const = default;
};

// Group commit for one writer. At most one append is in flight; an append whose
// outcome is unknown is repeated unchanged until the outcome is known.
struct outbox {
  work::feed target = work::feed::kRecords;
  std::string writer;
  std::uint64_t epoch = 0;
  // Sequence number of the append in flight, or of the next one.
  std::uint64_t sequence = 0;
  std::deque<queued_record> waiting;
  std::vector<queued_record> batch;
  std::optional<call_number> in_flight;
  timestamp sent_at;
  timestamp next_at;
  // An earlier append of this batch timed out and may have stored it.
  bool maybe_stored = false;
  // The most records of the next batch, after the store rejected a larger one:
  // halved by each rejection, doubled by each append that is stored.
  std::optional<std::size_t> batch_limit;
  // Appends that failed since the last one that was stored.
  std::uint32_t failed_appends = 0;
  // How long the latest append took that was answered or timed out.
  duration last_append_time{0};

  bool operator==(const outbox&) const = default;
};

enum class call_stage {
  kStoring,     // its record is waiting to be stored
  kConfirming,  // its job is unknown; newer records are being read to make sure
  kRelayed,     // forwarded to the leader, which answers it
};

// A client call that has not been answered yet.
struct open_call {
  work::client_call content;
  timestamp arrived;
  timestamp deadline;
  call_stage stage = call_stage::kStoring;
  work::job_id job;
  // As the entry that took the call decided; later catalogs change nothing.
  model::value_cell<work::call_route> route;
  // In `kConfirming`: the first confirming read sent after it arrived, counted
  // from 1.
  std::uint64_t confirming_read = 0;
  // Its record was part of an append whose outcome is unknown.
  bool maybe_stored = false;
  // For a call that a peer relayed: the peer's address and the peer's own
  // number for the call.
  std::string relayed_by;
  call_number peer_call_number = 0;

  bool operator==(const open_call&) const = default;
};

enum class role { kFollower, kCandidate, kLeader };

// What this entry knows of the leader, and its own role in the election.
struct leadership_state {
  role current_role = role::kFollower;
  // Highest epoch seen in records, heartbeats or refusals.
  std::uint64_t epoch = 0;
  std::string leader_address;
  timestamp leader_heard_at;
  timestamp leader_reached_store_at;
  // Whether the leader could reach the store, according to its last heartbeat.
  bool leader_reaches_store = false;
  // Whether it could reach all streams there, according to the same.
  bool leader_reaches_all_streams = false;
  // Whether appends to the store take long, according to the same.
  bool leader_store_slow = false;
  // How long jobs would wait, according to the same.
  std::vector<work::expected_wait> leader_waits;
  std::optional<timestamp> resigning_since;
  // Since when this follower has known from the records that the leader's
  // process has restarted. Candidates claim in turn from then on.
  std::optional<timestamp> leader_restarted_since;
  // The time within the window that this entry drew for its claim to the next
  // epoch, if its rank is behind those that claim in turn.
  std::optional<duration> unranked_delay;

  // A candidate's claim to leadership: an append that is repeated unchanged
  // until its outcome is known.
  std::optional<call_number> claim;
  std::uint64_t claim_epoch = 0;
  std::uint64_t claim_sequence = 0;
  bool claim_maybe_stored = false;
  timestamp next_claim_at;
  // Since when this follower has had all that a claim needs. All entries of a
  // new site wait for its first configuration, and claim in turn only then.
  std::optional<timestamp> able_to_claim_since;
  // How often the claim failed so far.
  std::uint32_t failed_claims = 0;

  // Heartbeats sent by this entry as leader.
  std::uint64_t heartbeat = 0;
  timestamp next_heartbeat_at;
  // For each member, the latest time at which it is known to have followed this
  // leader.
  std::map<work::entry_id, timestamp> replies;
  // When this process last resumed after a stall. Confirmations of the leader's
  // authority from before then don't count, as another leader may have been
  // elected meanwhile.
  timestamp last_stall_at;

  // The earliest time to ask a peer for the catalog again.
  timestamp next_catalog_request_at;

  bool operator==(const leadership_state&) const = default;
};

// The leader's view of one worker.
struct worker_state {
  // The entry in the worker registry; empty while the worker is known only from
  // progress records.
  model::value_cell<work::registered_worker> entry;
  bool is_listed = true;
  timestamp unlisted_since;
  // The entry is that of a process before the worker's latest restart, whose
  // kind and capacity may differ.
  bool entry_outdated = false;
  // The earliest time at which a draining worker leaves, if it announced one.
  std::optional<timestamp> leaves_at;
  // The worker has answered an order of this epoch, and so refuses those of
  // earlier leaders.
  bool fenced = false;
  // Another process answers at the worker's address: this one has ended, and
  // nothing runs on it any more. Its registry entry may stay for a while, or
  // come back for a while.
  bool replaced = false;
  // The worker's clock in its latest answer, and when that answer was received.
  std::optional<duration> clock;
  timestamp clock_read_at;
  // The latest lease expiry sent to the worker, on its own clock.
  duration lease_until{0};
  // When every lease given before has expired, whether by earlier leaders or to
  // a new process of the worker before its restart was known.
  timestamp earlier_leases_end_at;

  std::optional<call_number> hold;
  timestamp hold_sent_at;
  // The task end acknowledged by the hold in flight.
  std::uint64_t hold_acknowledged_end = 0;
  timestamp next_hold_at;
  timestamp answered_at;
  // When it first refused or closed a connection since then, which shows when
  // its process ended, if it did.
  std::optional<timestamp> disconnected_at;
  // Consecutive holds without an answer.
  std::uint32_t unanswered_holds = 0;
  // It refused the latest hold, which so renewed no lease and listed nothing.
  bool refused_hold = false;

  // A worker numbers the ends of its tasks. These are the last end that was
  // processed, the last whose effect on job progress is stored, and the last
  // acknowledged to the worker, which may then forget it.
  std::uint64_t last_processed_end = 0;
  std::uint64_t last_durable_end = 0;
  std::uint64_t last_acknowledged_end = 0;
  // The first end that must not be acknowledged yet: the task was successful,
  // but has been started again, and the leases may not have expired since.
  std::optional<std::uint64_t> withheld_end;
  // When the latest listing arrived, every lease given before had expired.
  bool listed_after_lapse = false;
  // First reached when units were already being placed: tasks that an earlier
  // leader had started here may have been started again.
  bool reached_late = false;
  // Tasks on this worker that were given up, with their attempts.
  std::set<std::pair<work::task_id, std::uint64_t>> abandoned_tasks;

  // Consecutive failures, without a successful task in between. Repeated
  // failures of the same job count once.
  std::uint32_t failures = 0;
  work::job_id last_failed;
  timestamp shunned_until;
  // Starts that it rejected since it last accepted one. It gets no further one
  // until `next_start_at`.
  std::uint32_t rejected_starts = 0;
  timestamp next_start_at;

  // The registry entry, or an empty one while there is none.
  const work::registered_worker& listed() const {
    static const work::registered_worker unknown{};
    return entry.Get() == nullptr ? unknown : *entry.Get();
  }

  bool operator==(const worker_state&) const = default;
};

enum class member_state {
  kOrdered,     // a start was ordered; not known whether the task runs
  kUnverified,  // presumed to run until its worker's listing confirms it
  kRunning,
  kEnded,
};

// One task of a placed unit, on its worker.
struct member {
  work::worker_id worker;
  member_state state = member_state::kOrdered;
  bool stopping = false;
  std::optional<call_number> order;
  timestamp next_order_at;
  std::uint32_t start_orders_sent = 0;
  // The latest expiry of the leases in these orders, on the worker's clock. The
  // worker refuses each of them from then on.
  duration starts_expire_at{0};
  // A start was not answered, so that the worker may still carry it out.
  bool start_pending = false;
  // When the worker first confirmed that the task has been started.
  std::optional<timestamp> started_at;
  // When the worker confirmed an order for the task, or first listed it as
  // running. In listings requested later, the absence of the task means that it
  // no longer runs.
  std::optional<timestamp> acknowledged_at;

  bool operator==(const member&) const = default;
};

// Whether the worker may have been lost by the start of the attempt.
enum class loss_kind : std::uint8_t { kAtStart, kLater };

// The worker's process with which an attempt was lost.
struct attempt_loss {
  loss_kind kind = loss_kind::kLater;
  work::worker_id worker;
  std::uint64_t life = 0;

  bool operator==(const attempt_loss&) const = default;
};

enum class unit_phase { kWaiting, kPlaced, kDone };

// What is placed as a whole: one task, or all tasks of a gang.
// Invariant: a waiting unit has no members, and `attempt` is its highest; a
// placed one may have a higher `highest_attempt`. A done unit may still have
// members whose end the worker has not listed yet.
struct unit {
  unit_phase phase = unit_phase::kWaiting;
  // How often it was stopped in favour of more important work.
  std::uint32_t preemptions = 0;
  // Number of the attempt that is placed, or of the latest one.
  std::uint64_t attempt = 0;
  // Of all attempts that are known to have been ordered, also by earlier
  // leaders and without a record.
  std::uint64_t highest_attempt = 0;
  std::string checkpoint;
  std::vector<member> members;
  failed_attempts failed;
  // Workers on which an attempt failed.
  std::set<work::worker_id> failed_on;
  // Attempts that were lost with a worker: it crashed, or was out of reach
  // until its leases had expired.
  std::map<std::uint64_t, attempt_loss> lost_attempts;
  // More of them, of which an older version stored only how many there were.
  std::map<loss_kind, std::uint32_t> unnamed_losses;
  timestamp last_loss_at;
  // When it was last placed, last began to wait, or was done.
  timestamp since;

  bool operator==(const unit&) const = default;
};

using step_key = std::pair<std::uint32_t, std::uint32_t>;

// A job that the leader schedules, until its end is stored.
struct active_job {
  model::value_cell<work::submission> content;
  std::uint64_t accepted = 0;
  work::job_phase phase = work::job_phase::kQueued;
  // Steps, by occurrence and index, whose units have been created, and those
  // whose units are all done.
  std::set<step_key> opened;
  std::set<step_key> finished;

  bool operator==(const active_job&) const = default;
};

struct orphan_key {
  work::worker_id worker;
  work::task_id task;

  auto operator<=>(const orphan_key&) const = default;
};

// A task that runs on a worker although no unit is placed there; it is ordered
// to stop.
struct orphan_task {
  std::uint64_t attempt = 0;
  work::resources need;
  timestamp next_order_at;

  bool operator==(const orphan_task&) const = default;
};

// The unit member to which an order in flight refers.
struct order_reference {
  work::unit_id unit;
  std::uint32_t member = 0;
  std::uint64_t attempt = 0;
  // The process of the worker that was called.
  std::uint64_t life = 0;

  bool operator==(const order_reference&) const = default;
};

// The load on one worker: its tasks by unit and member index, the resources
// that they use, and the part of those resources held by tasks that are being
// stopped.
struct worker_load {
  std::set<std::pair<work::unit_id, std::uint32_t>> tasks;
  work::resources used;
  work::resources leaving;

  bool operator==(const worker_load&) const = default;
};

// An end in a worker's listing that was processed. It may be acknowledged once
// all changes up to `change` are stored.
struct processed_end {
  work::worker_id worker;
  std::uint64_t number = 0;
  std::uint64_t change = 0;

  bool operator==(const processed_end&) const = default;
};

// What an entry's latest reply to a heartbeat tells of it as a proxy.
struct proxy_report {
  timestamp heard_at;
  std::uint64_t incarnation = 0;
  bool takes_orders = false;
  // How far its clock is ahead of this one, at least.
  duration clock_ahead{0};
  // It is not used until then: workers that did not answer it answered this
  // leader.
  timestamp avoided_until;

  bool operator==(const proxy_report&) const = default;
};

// An entry that sends this leader's orders to a share of the workers, which
// spares the leader the calls themselves.
struct proxy_state {
  std::string address;
  std::uint64_t incarnation = 0;
  duration clock_ahead{0};
  // How many workers it is to call at most, and how many it is assigned.
  std::size_t capacity = 0;
  std::size_t workers = 0;
  // How many workers that did not answer it answered this leader.
  std::uint32_t failures = 0;

  bool operator==(const proxy_state&) const = default;
};

// Orders that are collected for a proxy until `flush_at`.
struct forwarding_batch {
  timestamp flush_at;
  std::vector<work::order> orders;

  bool operator==(const forwarding_batch&) const = default;
};

// A worker that did not answer its proxy, and is called by the leader since.
struct unanswered_proxy {
  work::entry_id proxy;
  timestamp since;

  bool operator==(const unanswered_proxy&) const = default;
};

// What was lost with one process of a worker.
struct worker_losses {
  std::uint64_t life = 0;
  timestamp at;
  // Units and their attempts.
  std::set<std::pair<work::unit_id, std::uint64_t>> attempts;

  bool operator==(const worker_losses&) const = default;
};

// An order that was forwarded and is not answered yet.
struct forwarded_order {
  work::entry_id proxy;
  work::worker_id worker;
  // Index of its kind in `work::order`.
  std::size_t kind = 0;
  timestamp expires_at;

  bool operator==(const forwarded_order&) const = default;
};

// State that only the leader has. It starts empty with each election.
struct leader_state {
  std::uint64_t epoch = 0;
  timestamp elected_at;
  // End of the records at the election: a new leader reads up to this offset
  // before it restores jobs.
  std::uint64_t election_offset = 0;
  // Jobs were loaded from the records.
  bool restored = false;
  // Every listed worker was contacted, or the time for it is over. Until then
  // only units that no earlier leader can have started are placed.
  bool reconciled = false;
  // The same holds on: the earlier leader may have started tasks that no record
  // names, on workers that have not been reached yet.
  bool earlier_tasks_unknown = false;
  model::value_table<work::job_id, active_job> jobs;
  model::value_table<work::unit_id, unit> units;
  model::value_table<work::worker_id, worker_state> workers;
  model::value_table<work::worker_id, worker_load> loads;
  model::value_table<orphan_key, orphan_task> orphan_tasks;
  // Units with losses that have not outlived the start of a later attempt.
  std::set<work::unit_id> suspects;
  // Workers on which these are placed, as of the latest tick; they are asked
  // often whether they are still there.
  std::set<work::worker_id> watched_workers;
  // What was lost with workers that have not shown since whether they crashed.
  std::map<work::worker_id, worker_losses> losses;
  model::value_table<call_number, order_reference> orders;
  // Workers with a start order that is not answered yet, and when the latest
  // was sent.
  std::map<work::worker_id, timestamp> starting;
  // The phases of jobs, which all entries read, and the progress of units,
  // which the next leader reads. The first append of `unit_progress` fences the
  // appends of earlier leaders.
  outbox job_phases;
  outbox unit_progress;
  bool earlier_leaders_fenced = false;
  // Reading of the units as earlier leaders stored them, and what was read so
  // far; empty again once the jobs are restored.
  feed_state stored_units_feed;
  model::value_table<work::unit_id, work::unit_progress> stored_units;
  // The same for the workers that earlier leaders admitted.
  std::set<work::worker_id> stored_workers;
  // Units that have a record in the store, or in the append in flight.
  std::set<work::unit_id> recorded_units;
  // Changes of jobs and units are numbered in the order in which they are made.
  std::uint64_t last_change = 0;
  change_queue<work::job_id> changed_jobs;
  change_queue<work::unit_id> changed_units;
  // Workers of which the store has a record, from which the next leader knows
  // that tasks may run there; no other worker is given starts.
  std::set<work::worker_id> admitted_workers;
  // Workers whose record may have to be written or deleted.
  std::set<work::worker_id> changed_workers;
  // Since when there has been a change in one of the two.
  std::optional<timestamp> unsaved_since;
  // In the order of their changes.
  std::deque<processed_end> processed_ends;
  std::map<work::entry_id, proxy_report> proxy_reports;
  model::value_table<work::entry_id, proxy_state> proxies;
  // The proxy of each worker that has one; the leader calls the others itself.
  std::map<work::worker_id, work::entry_id> proxy_of;
  std::map<work::worker_id, unanswered_proxy> unanswered_proxies;
  std::map<work::entry_id, forwarding_batch> forwarding;
  model::value_table<call_number, forwarded_order> forwarded_orders;
  // Closed jobs are looked through for deletion in the order of their IDs, from
  // this one on.
  work::job_id deletion_scan_at;
  timestamp next_deletion_at;
  // The tick before the latest.
  timestamp previous_tick_at;
  dispatch::observations observed;
  // The unit of each service for which the latest planning pass kept room.
  std::map<work::service_id, work::unit_id> rooms_kept;
  timestamp next_share_report_at;
  // How long further jobs would wait, as of the latest measurement.
  std::vector<work::expected_wait> waits;
  timestamp next_wait_measurement_at;
  bool plan_due = false;
  timestamp next_plan_at;
  // Starts are paced: those so far take the leader until this time.
  std::chrono::microseconds starts_take_until{0};

  bool operator==(const leader_state&) const = default;
};

// A call to a worker that this entry makes as the proxy of a leader.
struct proxied_call {
  std::string leader_address;
  std::uint64_t epoch = 0;
  // The leader's number of the call.
  call_number leader_call = 0;

  bool operator==(const proxied_call&) const = default;
};

// What this entry does as a proxy.
struct proxying_state {
  model::value_table<call_number, proxied_call> calls;
  // Answers by the address of the leader that they are returned to, all of its
  // epoch `epoch`.
  struct returned {
    std::uint64_t epoch = 0;
    std::vector<work::order_answer> answers;

    bool operator==(const returned&) const = default;
  };
  std::map<std::string, returned> returning;
  timestamp flush_at;

  bool operator==(const proxying_state&) const = default;
};

struct shutdown_state {
  bool requested = false;
  timestamp stop_at;

  bool operator==(const shutdown_state&) const = default;
};

struct state {
  timestamp now;
  std::uint64_t incarnation = 0;
  // State of the splitmix64 generator.
  std::uint64_t random_state = 0;
  call_number last_call = 0;
  timestamp next_tick_at;
  timestamp next_load_report_at;
  // How late the latest tick was since the last report.
  duration longest_tick_delay{0};
  timestamp wake_scheduled_at;
  feed_state records;
  feed_state catalogs;
  feed_state workers;
  evacuated_domains evacuations;
  // Holds the streams that were called so far.
  std::map<work::feed, stream_health> store_health;
  records::ledger ledger;
  model::value_cell<work::published_catalog> in_force;
  outbox submissions;
  model::value_table<call_number, open_call> calls;
  confirming_read_state confirming_reads;
  leadership_state leadership;
  leader_state leader;
  proxying_state proxying;
  shutdown_state shutdown;

  bool operator==(const state&) const = default;
};

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_STATE_H_
