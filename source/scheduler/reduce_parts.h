// The reducers by part, and the small steps that they share. Each takes the
// step so far and gives the next one.

#ifndef PARSLEYHITCH_SCHEDULER_REDUCE_PARTS_H_
#define PARSLEYHITCH_SCHEDULER_REDUCE_PARTS_H_

#include <string>
#include <string_view>

#include "scheduler/fold.h"
#include "scheduler/reduce.h"

namespace parsleyhitch::scheduler::detail {

// Shared steps (reduce.cc).
step Emit(step step, model::effect effect);
step Count(step step, std::string metric);
step Log(step step,
         model::severity level,
         std::string message,
         std::string subject);
step On(const environment&, step, const model::wake_due&);
step SetAlarm(step step, alarm alarm);
step DropAlarm(step step, const alarm& alarm);
step Answer(step step, model::call_number call, model::answer answer);
// A repeatable random number for this event.
std::uint64_t Draw(step& step);

// The log (reduce_log.cc).
step On(const environment&, step, const model::log_read&);
step On(const environment&, step, const model::log_unread&);
step On(const environment&, step, const model::append_answered&);
step On(const environment&, step, const model::append_unanswered&);
step StartReading(const environment&, step);
step Append(step step, model::record record, waiter waits);
step AppendIfDue(const environment&, step);
step FoldIfNext(const environment&, step, const model::logged_batch&);
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
step NoteLeaving(const environment&,
                 step,
                 const model::worker_id&,
                 const leaving_view&);
bool IsHomeOf(const environment&, const entry_state&, std::string_view subject);
// True once new calls are to be refused.
bool RefusesNewCalls(const environment&, const entry_state&);

// Workers (reduce_workers.cc).
step On(const environment&, step, const model::worker_answered&);
step On(const environment&, step, const model::worker_unanswered&);
step SyncIfDue(const environment&, step, const alarm&);
step SyncSoon(const environment&, step, const model::worker_id&);
step RefreshHomes(const environment&, step);
step OnWorkerChanged(const environment&, step, const model::worker_id&);

// Jobs, manifests and placement (reduce_jobs.cc).
step On(const environment&, step, const model::job_requested&);
step On(const environment&, step, const model::job_cancel_requested&);
step On(const environment&, step, const model::job_read_requested&);
step On(const environment&, step, const model::manifest_offered&);
step OnVerdict(const environment&, step, const record_verdict&, const waiter&);
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
