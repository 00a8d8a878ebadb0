// Workers: their registry entries, listings, leases, admission, departures and
// losses.

#ifndef PARSLEYHITCH_DISPATCH_FLEET_FLEET_H_
#define PARSLEYHITCH_DISPATCH_FLEET_FLEET_H_

#include <optional>
#include <string_view>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// fleet.cc: workers, their listings and their leases.
void UpsertWorker(const context& ctx, const work::registered_worker& entry);
void MarkWorkerUnlisted(const context& ctx, const work::worker_id& worker);
// Adds a worker of which only records tell.
void AddUnlistedWorker(const context& ctx, const work::worker_id& worker);
// When the leases given by earlier leaders have expired on every worker.
timestamp EarlierLeasesEndAt(const context& ctx);
// Sends a hold, a long poll that renews the lease and fetches the listing, if
// the worker needs one.
void HoldIfNeeded(const context& ctx, const work::worker_id& worker);
void OnHoldAnswered(const context& ctx, const work::hold_answered& event);
// Called when another process has answered at the address of the worker, whose
// own process, and with it all that ran there, has ended.
void OnWorkerReplaced(const context& ctx, const work::worker_id& worker);
void AdvanceWorkers(const context& ctx);
// Estimates the worker's clock now. The worker's clock must be known.
duration ClockNow(const context& ctx, const worker_state& row);
// Notes when the worker first refused or closed a connection since it was last
// heard, if it did so now.
void NoteDisconnection(const context& ctx,
                       const work::worker_id& worker,
                       work::order_outcome outcome);
// Detects a restart of the worker by its clock, which starts anew. Until the
// restart is known, acknowledgements meant for the old process could make the
// new one forget ends that nobody has read.
void ObserveWorkerClock(const context& ctx,
                        const work::worker_id& worker,
                        const std::optional<duration>& clock);
// True when units may be placed on the worker once it is admitted.
bool IsSchedulable(const worker_state& row);
// Counts a failure against the worker: it failed a task of the job, or refused
// or ignored a start.
void RecordWorkerFailure(const context& ctx,
                         const work::worker_id& worker,
                         const work::job_id& job,
                         std::string_view why);

// admission.cc: records of the workers on which tasks may run.
// True if the store has a record of the worker, so that it may be given starts.
bool IsAdmitted(const context& ctx, const work::worker_id& worker);
// Has the worker's record written or deleted, if that is due.
void UpdateAdmission(const context& ctx, const work::worker_id& worker);
// The worker's record or its deletion, whichever is due.
std::optional<work::record> TakeWorkerRecord(const context& ctx,
                                             const work::worker_id& worker);
// Admits the worker if the record is a worker's.
void OnWorkerRecordStored(const context& ctx, const work::record& record);
// Has a worker's record that was not stored written again. False for any other
// record.
bool ReturnWorkerRecord(const context& ctx, const work::record& record);
// Takes over the workers that earlier leaders admitted.
void RestoreAdmissions(const context& ctx);

// departures.cc: moving units off workers that are about to leave.
// Updates when the worker leaves from its registry entry.
void NoteDeparture(const context& ctx, worker_state& row);
void ClearLeavingWorkers(const context& ctx);

// losses.cc: tasks that are lost with their workers, which they may have
// crashed.
// Counts the loss of the attempts on the worker, which has crashed or counts as
// lost, and gives up jobs with a task that was lost too often.
void CountLosses(const context& ctx, const work::worker_id& worker);
// Takes over the losses in the record of a restored unit.
void RestoreLosses(const context& ctx,
                   const work::unit_id& id,
                   const work::unit_progress& saved);
// Called when a process of the worker has shown itself. If it is the one with
// which tasks were lost, it was only silent, and the losses no longer count.
void OnWorkerSeen(const context& ctx,
                  const work::worker_id& worker,
                  std::uint64_t life);
// Clears the suspects that are known to have outlived their start, and notes on
// which workers the others are placed. Called at each tick.
void AdvanceSuspects(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_FLEET_FLEET_H_
