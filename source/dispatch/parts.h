// The parts of the reducer, as they call one another. Each part has a file of
// its own, named in the heading.

#ifndef PARSLEYHITCH_DISPATCH_PARTS_H_
#define PARSLEYHITCH_DISPATCH_PARTS_H_

#include <string_view>
#include <vector>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// feeds.cc: reads of the store's streams.
void PollFeeds(const context& ctx);
void OnFeedRead(const context& ctx, const work::feed_read& event);
void OnNewestRead(const context& ctx, const work::newest_read& event);
void OnFeedUnread(const context& ctx, const work::feed_unread& event);
void PutInForce(const context& ctx,
                const work::published_catalog& published,
                std::string_view source);
// Takes the jobs over once every record from before the election is read.
void RestoreIfCaughtUp(const context& ctx);
// Reads the newest records once more, beside the read under way.
void ConfirmRecords(const context& ctx);
void NoteStoreAnswer(const context& ctx, bool answered);
// No call to the store has succeeded for a while.
bool IsStoreTroubled(const context& ctx, duration at_least);

// outbox.cc: group commit.
void FlushOutboxes(const context& ctx);
void OnAppendAnswered(const context& ctx, const work::append_answered& event);

// clients.cc: calls of callers.
void OnClientCalled(const context& ctx, const work::client_called& event);
void OnClientGone(const context& ctx, const work::client_gone& event);
void OnCallRelayed(const context& ctx, const work::call_relayed& message);
void OnCallSettled(const context& ctx, const work::call_settled& message);
void SettleStored(const context& ctx, call_number call);
void SettleConfirmed(const context& ctx, timestamp confirmed_at);
void AdvanceCalls(const context& ctx);

// peers.cc: messages of other entries.
void OnPeerHeard(const context& ctx, const work::peer_heard& event);
void SendToPeer(const context& ctx,
                const std::string& address,
                work::peer_content content);

// leadership.cc: who may order workers.
void AdvanceLeadership(const context& ctx);
void OnHeartbeat(const context& ctx,
                 const work::entry_id& from,
                 const work::leader_heartbeat& message);
void OnHeartbeatReply(const context& ctx,
                      const work::entry_id& from,
                      const work::heartbeat_reply& message);
void OnClaimAnswered(const context& ctx, const work::append_answered& event);
// Notes that `epoch` exists; an older leader steps down.
void NoteEpoch(const context& ctx, std::uint64_t epoch, std::string_view why);
// The leader's authority was confirmed lately enough to give orders.
bool HasAuthority(const context& ctx);

// jobs.cc: the leader's jobs and their steps.
void OnJobFolded(const context& ctx, const work::job_id& job);
void OpenDueSteps(const context& ctx);
// Creates the units of a step that an earlier leader opened without a record.
void EnsureOpened(const context& ctx, const work::unit_id& id);
// The steps that the unit's step depends on are done.
bool MayStart(const live_job& job, const work::unit_id& id);
void FinishUnit(const context& ctx, const work::unit_id& id);
void CloseJob(const context& ctx,
              const work::job_id& job,
              work::job_phase phase);
// Drops a closed job's unit once none of its members runs.
void DropIfEnded(const context& ctx, const work::unit_id& id);
const work::step_spec& StepOf(const live_job& job, const work::unit_id& id);
std::uint32_t MembersOf(const work::step_spec& step);
work::resources NeedOf(const work::step_spec& step);
work::unit_id UnitOf(const live_job& job, const work::task_id& task);

// restore.cc: jobs as a new leader finds them in the records.
void RestoreJobs(const context& ctx);

// progress.cc: what the store has to keep. Records of jobs that changed, up to
// the size of a batch; the rest stays unsaved.
std::vector<work::record> TakeUnsaved(const context& ctx);

// fleet.cc: workers, their lists and their leases.
void UpsertWorker(const context& ctx, const work::registered_worker& entry);
void DropWorker(const context& ctx, const work::worker_id& worker);
// When whatever an earlier leader has started on a worker must have lapsed.
timestamp EarlierLeasesLapse(const context& ctx);
void HoldIfNeeded(const context& ctx, const work::worker_id& worker);
void OnHoldAnswered(const context& ctx, const work::hold_answered& event);
void AdvanceWorkers(const context& ctx);
// The worker's clock now, as far as can be told.
duration ClockNow(const context& ctx, const worker_row& row);
bool TakesWork(const worker_row& row);
// The worker failed a task of the job, or refused or ignored a start.
void NoteFailure(const context& ctx,
                 const work::worker_id& worker,
                 const work::job_id& job,
                 std::string_view why);

// orders.cc: starts and stops.
// The lowest attempt number of this leader's epoch.
std::uint64_t FirstAttempt(const context& ctx);
void PlaceUnit(const context& ctx,
               const work::unit_id& id,
               const std::vector<work::worker_id>& workers);
void StopUnit(const context& ctx,
              const work::unit_id& id,
              std::string_view why);
// Stops a member that a new life of its worker may start yet; false when no
// start of it is pending.
bool StopPending(const context& ctx,
                 const work::unit_id& id,
                 std::uint32_t index);
void OnStartAnswered(const context& ctx, const work::start_answered& event);
void OnStopAnswered(const context& ctx, const work::stop_answered& event);
void AdvanceOrders(const context& ctx);

// ends.cc: what workers' lists say of tasks.
void NoteRunning(const context& ctx,
                 const work::worker_id& worker,
                 const work::running_task& task);
void NoteEnd(const context& ctx,
             const work::worker_id& worker,
             const work::ended_task& end);
// What the end of a member means for the others of its gang.
enum class gang_effect : std::uint8_t {
  kEndsTheRest,    // the workers end them too
  kLeavesTheRest,  // they run on until they are stopped
};
// The member is known not to run any more; the unit waits again once all of its
// members have ended.
void EndMember(const context& ctx,
               const work::unit_id& id,
               std::uint32_t member,
               gang_effect effect);
// Tasks that an older list should have shown are not there.
void EndMissing(const context& ctx,
                const work::worker_id& worker,
                const work::worker_listing& listing,
                timestamp listed_after);

// planning.cc: which unit goes where.
void PlanIfDue(const context& ctx);

// shutdown.cc: graceful shutdown.
void OnShutdownRequested(const context& ctx,
                         const work::shutdown_requested& event);
void AdvanceShutdown(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_PARTS_H_
