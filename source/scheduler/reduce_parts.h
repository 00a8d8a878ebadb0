// The reducer's functions by part. Each takes a step and returns it with its
// state changes and effects added. `On` overloads handle events.

#ifndef PARSLEYHITCH_SCHEDULER_REDUCE_PARTS_H_
#define PARSLEYHITCH_SCHEDULER_REDUCE_PARTS_H_

#include <string>
#include <string_view>

#include "scheduler/fold.h"
#include "scheduler/reduce.h"

namespace parsleyhitch::scheduler::detail {

// Shared by all parts (reduce.cc).
step Emit(step step, model::effect effect);
step Count(step step, std::string metric);
step Log(step step,
         model::severity level,
         std::string message,
         std::string subject);
step On(const environment&, step, const model::wake_due&);
step SetTimer(step step, timer timer);
step CancelTimer(step step, const timer& timer);
step Answer(step step, model::call_number call, model::answer answer);
// The next pseudo-random number, uniform over 64 bits. A replay of the same
// events gives the same numbers.
std::uint64_t NextRandom(step& step);

// Reading and appending the log (reduce_log.cc).
step On(const environment&, step, const model::log_read&);
step On(const environment&, step, const model::log_unread&);
step On(const environment&, step, const model::append_answered&);
step On(const environment&, step, const model::append_unanswered&);
step StartReading(const environment&, step);
// Queues a record for the next batch. `waiter` is notified of its verdict.
step Append(step step, model::record record, verdict_waiter waiter);
step AppendIfDue(const environment&, step);
// Folds the batch into the ledger if it is the next one in log order.
step FoldIfNext(const environment&, step, const model::logged_batch&);
// True once the entry has read the log up to its end.
bool IsReady(const entry_state& state);

// Peers, the VM list and graceful shutdown (reduce_peers.cc).
step On(const environment&, step, const model::entry_started&);
step On(const environment&, step, const model::peer_heard&);
step On(const environment&, step, const model::vm_list_read&);
step On(const environment&, step, const model::vm_list_unread&);
step On(const environment&, step, const model::drain_requested&);
step SendHeartbeats(const environment&, step);
step RefreshMembership(const environment&, step);
step ReadVmList(const environment&, step);
step StopIfDrained(const environment&, step);
// Merges a report that a worker is leaving. Appends it to the log if it changes
// the worker's phase.
step RecordLeaving(const environment&,
                   step,
                   const model::worker_id&,
                   const leaving_view&);
// True if this entry is the one among the live entries that handles the
// subject: a role such as the planner, or a worker.
bool IsResponsibleFor(const environment&,
                      const entry_state&,
                      std::string_view subject);
// True once a draining entry refuses new calls.
bool RefusesNewCalls(const environment&, const entry_state&);

// Workers (reduce_workers.cc).
step On(const environment&, step, const model::worker_answered&);
step On(const environment&, step, const model::worker_unanswered&);
step SyncIfDue(const environment&, step, const timer&);
// Sends a sync now, or after the outstanding one if there is one.
step RequestSync(const environment&, step, const model::worker_id&);
// Reassesses all workers after a change of the live entries.
step RefreshWorkers(const environment&, step);
step OnWorkerChanged(const environment&, step, const model::worker_id&);

// Jobs, manifests and placement (reduce_jobs.cc).
step On(const environment&, step, const model::job_requested&);
step On(const environment&, step, const model::job_cancel_requested&);
step On(const environment&, step, const model::job_read_requested&);
step On(const environment&, step, const model::manifest_offered&);
step OnVerdict(const environment&,
               step,
               const record_verdict&,
               const verdict_waiter&);
// The call's deadline has passed without a verdict.
step OnCallDeadline(const environment&, step, model::call_number);
step PlanIfDue(const environment&, step);

// Status (reduce_status.cc).
step On(const environment&, step, const model::status_requested&);

// Requests (reduce_requests.cc, request_claims.cc, request_queue.cc).
step On(const environment&, step, const model::request_received&);
step On(const environment&, step, const model::caller_gone&);
step On(const environment&, step, const model::endpoint_answered&);
step On(const environment&, step, const model::endpoint_unanswered&);
step OnClaimChanged(const environment&, step, const model::scoped_key&);
step OnClaimVerdict(const environment&,
                    step,
                    const record_verdict&,
                    model::call_number);
step OnRequestDeadline(const environment&, step, model::call_number);
step RetryRequest(const environment&, step, model::call_number);
step RefreshEndpoint(const environment&, step, const model::worker_id&);
step DispatchRequests(const environment&, step);

}  // namespace parsleyhitch::scheduler::detail

#endif  // PARSLEYHITCH_SCHEDULER_REDUCE_PARTS_H_
