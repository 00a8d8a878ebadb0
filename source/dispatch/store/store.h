// The streams of the store: reading them, whether they can be reached, and
// storing records and the progress of jobs and units.

#ifndef PARSLEYHITCH_DISPATCH_STORE_STORE_H_
#define PARSLEYHITCH_DISPATCH_STORE_STORE_H_

#include <optional>
#include <string_view>

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

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_STORE_STORE_H_
