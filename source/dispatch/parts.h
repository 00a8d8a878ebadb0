// The functions through which the parts of the reducer call one another. Each
// part has a source file, named in its heading.

#ifndef PARSLEYHITCH_DISPATCH_PARTS_H_
#define PARSLEYHITCH_DISPATCH_PARTS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// feeds.cc: reading the streams of the store.
feed_state& StateOf(const context& ctx, work::feed source);
void PollFeeds(const context& ctx);
void OnFeedRead(const context& ctx, const work::feed_read& event);
void OnNewestRead(const context& ctx, const work::newest_read& event);
void OnFeedUnread(const context& ctx, const work::feed_unread& event);
// Puts the catalog in force unless a version at least as new already is.
void ActivateCatalog(const context& ctx,
                     const work::published_catalog& published,
                     std::string_view source);
// Takes over what a peer knows of evacuated failure domains, if it has read
// more of the operators' stream.
void AdoptEvacuations(const context& ctx,
                      const work::evacuation_report& report);
// True while operators want no task to be started in the failure domain.
bool IsEvacuated(const context& ctx,
                 const work::failure_domain_id& failure_domain);
// Restores the jobs once every record from before the election has been read.
void RestoreIfCaughtUp(const context& ctx);
// Requests another read of the newest records, concurrent with that of the
// feed. Returns its number.
std::uint64_t RequestConfirmingRead(const context& ctx);

// store_health.cc: whether the streams of the store are reachable, from the
// outcomes of the calls to them. Each outcome is recorded before the call's
// state changes.
void RecordStoreCall(const context& ctx, const work::feed_read& event);
void RecordStoreCall(const context& ctx, const work::newest_read& event);
void RecordStoreCall(const context& ctx, const work::feed_unread& event);
void RecordStoreCall(const context& ctx, const work::append_answered& event);
// True when every call to the stream has failed for `at_least`.
bool IsStreamFailing(const context& ctx, work::feed stream, duration at_least);
// What callers, claims and followers need of the store: its records.
bool IsStoreFailing(const context& ctx, duration at_least);
bool IsAnyStreamFailing(const context& ctx);
stream_health HealthOf(const context& ctx, work::feed stream);
// Forgets outages that have not ended of the streams that only a leader calls.
void ForgetLeaderStreams(const context& ctx);

// The pause before a call to the store is repeated that has failed `failures`
// times in a row before: `shortest` at first.
duration StoreRetryPause(const context& ctx,
                         duration shortest,
                         std::uint32_t failures);

// outbox.cc: group commit of records.
// Queues a record of this entry; `caller` is answered once it is stored. False
// when it is larger than the store takes.
bool EnqueueRecord(const context& ctx,
                   work::record record,
                   std::optional<call_number> caller);
void FlushOutboxes(const context& ctx);
// How long the append in flight has taken; 0 if there is none.
duration AgeOfAppend(const context& ctx, const outbox& box);
// True when this entry's latest append, or the one in flight, takes long.
bool AreAppendsSlow(const context& ctx);
void OnAppendAnswered(const context& ctx, const work::append_answered& event);

// clients.cc: client calls.
void OnClientCalled(const context& ctx, const work::client_called& event);
void OnClientGone(const context& ctx, const work::client_gone& event);
void OnCallRelayed(const context& ctx, const work::call_relayed& message);
void OnCallSettled(const context& ctx, const work::call_settled& message);
void AnswerStoredCall(const context& ctx, call_number call);
// Answers a call whose record the store will never take.
void AnswerRejectedCall(const context& ctx, call_number call);
// True when a call waits for the confirmation that its job is unknown.
bool HasUnconfirmedCalls(const context& ctx);
// Answers calls that wait for the confirmation, if the confirming read that was
// just answered was sent after they arrived.
void ResolveConfirmedCalls(const context& ctx);
void AdvanceCalls(const context& ctx);

// peers.cc: messages from other entries.
void OnPeerHeard(const context& ctx, const work::peer_heard& event);
void SendToPeer(const context& ctx,
                const std::string& address,
                work::peer_content content);

// leadership.cc: leader election and authority.
void AdvanceLeadership(const context& ctx);
void OnHeartbeat(const context& ctx,
                 const work::entry_id& from,
                 const work::leader_heartbeat& message);
void OnHeartbeatReply(const context& ctx,
                      const work::entry_id& from,
                      const work::heartbeat_reply& message);
void OnClaimAnswered(const context& ctx, const work::append_answered& event);
// Records that `epoch` has begun; the leader of an older epoch steps down.
void ObserveEpoch(const context& ctx,
                  std::uint64_t epoch,
                  std::string_view why);
// Until when this entry may send orders: its leadership was confirmed one
// authority period before. The clock's epoch if it has no authority.
timestamp AuthorityExpiresAt(const context& ctx);
// True when this entry leads and its authority was confirmed recently enough to
// send orders.
bool HasAuthority(const context& ctx);

// jobs.cc: jobs and their steps.
// Handles a record of the job that was applied to the ledger.
void OnJobRecord(const context& ctx, const work::job_id& job);
void OpenDueSteps(const context& ctx);
// Creates the units of the unit's step if they don't exist: an earlier leader
// may have opened the step without storing a record of it.
void EnsureStepOpened(const context& ctx, const work::unit_id& id);
// True when all steps that the unit's step depends on are finished.
bool MayStart(const active_job& job, const work::unit_id& id);
void FinishUnit(const context& ctx, const work::unit_id& id);
// Called with each evidence that a task of the job runs or has run: only then
// the job has begun. That it was placed, or ordered to start, shows nothing.
void MarkJobStarted(const context& ctx, const work::job_id& job);
void CloseJob(const context& ctx,
              const work::job_id& job,
              work::job_phase phase);
// Erases a unit of a closed job once all of its members have ended.
void EraseUnitIfEnded(const context& ctx, const work::unit_id& id);
const work::step_spec& StepOf(const active_job& job, const work::unit_id& id);
std::uint32_t MembersOf(const work::step_spec& step);
work::unit_id UnitOf(const active_job& job, const work::task_id& task);

// restore.cc: loading jobs from the records after an election.
void RestoreJobs(const context& ctx);

// progress.cc: storing the progress of jobs and units, and acknowledging the
// ends whose effects are stored.
void NoteJobChanged(const context& ctx, const work::job_id& job);
void NoteUnitChanged(const context& ctx, const work::unit_id& unit);
// Deletes the records of the job's units.
void DeleteUnitRecords(const context& ctx, const work::job_id& job);
// Notes that the effects of the worker's ends up to `number` were applied.
void NoteEndsProcessed(const context& ctx,
                       const work::worker_id& worker,
                       std::uint64_t number);
// Forgets which ends of the worker are still to be stored: a later process
// under its name numbers its ends from the start.
void DropProcessedEnds(const context& ctx, const work::worker_id& worker);
// Makes ends durable whose changes are all stored.
void SettleProcessedEnds(const context& ctx);
// Fills the leader's outboxes with records of what has changed, as it is now.
void CollectProgress(const context& ctx);
// Notes the changes of records that were not stored again.
void ReturnChanges(const context& ctx, outbox& box);

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

// evacuation.cc: moving units off workers that are about to leave.
// Updates when the worker leaves from its registry entry.
void NoteDeparture(const context& ctx, worker_state& row);
void EvacuateLeavingWorkers(const context& ctx);

// orders.cc: orders to start and stop tasks.
work::order_target TargetOf(const context& ctx,
                            const work::worker_id& worker,
                            const worker_state& row);
// The lowest attempt number of this leader's epoch.
std::uint64_t FirstAttemptOfEpoch(const context& ctx);
void PlaceUnit(const context& ctx,
               const work::unit_id& id,
               const std::vector<work::worker_id>& workers);
void StopUnit(const context& ctx,
              const work::unit_id& id,
              std::string_view why);
// Stops a member whose start may still be carried out by the worker's new
// process; returns false when no start of it is pending.
bool StopIfStartPending(const context& ctx,
                        const work::unit_id& id,
                        std::uint32_t index);
void OnStartAnswered(const context& ctx, const work::start_answered& event);
void OnStopAnswered(const context& ctx, const work::stop_answered& event);
void AdvanceOrders(const context& ctx);

// proxies.cc: orders that other entries send for this leader, and those that
// this entry sends for another one.
// Sends the order, or forwards it to the worker's proxy.
void SendOrder(const context& ctx, work::order order);
// How far the clock on which an order to the worker states its validity is
// ahead of this entry's, at least.
duration ClockAheadFor(const context& ctx, const work::worker_id& worker);
// Notes from the reply to a heartbeat whether its sender may be a proxy.
void NoteProxyReport(const context& ctx,
                     const work::entry_id& from,
                     const work::heartbeat_reply& message);
// Replaces proxies that are silent and assigns workers to them.
void AdvanceProxies(const context& ctx);
// Sends the orders and answers that were collected.
void FlushForwarded(const context& ctx);
// The time at which something collected is to be sent, if there is any.
std::optional<timestamp> NextForwardAt(const context& ctx);
void OnOrdersForwarded(const context& ctx,
                       const work::orders_forwarded& message);
void OnAnswersReturned(const context& ctx,
                       const work::answers_returned& message);
// Returns the answer to the leader that forwarded the order. False when the
// order is this entry's own.
bool ReturnAnswer(const context& ctx, const work::order_answer& answer);

// ends.cc: running and ended tasks in workers' listings.
void OnTaskRunning(const context& ctx,
                   const work::worker_id& worker,
                   const work::running_task& task);
void OnTaskEnded(const context& ctx,
                 const work::worker_id& worker,
                 const work::ended_task& end);
// What the end of a member means for the other members of its gang.
enum class gang_effect : std::uint8_t {
  kEndsOthers,   // the workers end the others as well
  kKeepsOthers,  // the others run until they are stopped
};
// Records that the member no longer runs. The unit waits again once all of its
// members have ended.
void EndMember(const context& ctx,
               const work::unit_id& id,
               std::uint32_t member,
               gang_effect effect);
// Ends members on the worker that the listing should show but does not. The
// listing was requested at `listed_after`; the worker's clock was at `clock`
// when it was made.
void EndMissingTasks(const context& ctx,
                     const work::worker_id& worker,
                     const work::worker_listing& listing,
                     std::optional<duration> clock,
                     timestamp listed_after);

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

// planning.cc: placing waiting units.
void PlanIfDue(const context& ctx);

// load_report.cc: the length and age of this entry's queues.
// Called at each tick, before the next one is set.
void ReportLoadIfDue(const context& ctx);
// Called after each event.
void TrackUnsavedProgress(const context& ctx);

// shutdown.cc: graceful shutdown.
void OnShutdownRequested(const context& ctx,
                         const work::shutdown_requested& event);
void AdvanceShutdown(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PARTS_H_
