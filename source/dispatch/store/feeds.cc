// Reads the streams of the store: first a paged snapshot of the newest item of
// each key, then the items after it. When the store has trimmed items that were
// not read yet, the snapshot is read again.

#include <algorithm>
#include <utility>

#include "dispatch/backoff.h"
#include "dispatch/callers/callers.h"
#include "dispatch/fleet/fleet.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/leadership/leadership.h"
#include "dispatch/names.h"
#include "dispatch/store/store.h"
#include "records/record_key.h"

namespace parsleyhitch::dispatch {

feed_state& StateOf(const context& ctx, work::feed source) {
  switch (source) {
    case work::feed::kRecords:
      return ctx.state.records;
    case work::feed::kCatalog:
      return ctx.state.catalogs;
    case work::feed::kUnits:
      return ctx.state.leader.stored_units_feed;
    case work::feed::kWorkers:
      break;
  }
  return ctx.state.workers;
}

namespace {

void Apply(const context& ctx,
           const work::feed_item& item,
           const work::record& record) {
  state& s = ctx.state;
  s.ledger = records::Fold(std::move(s.ledger), item.offset, record, ctx.now());
  if (const auto* elected = std::get_if<work::leader_elected>(&record))
    ObserveEpoch(ctx, elected->epoch, "record");
  const std::optional<work::job_id> job = records::JobOf(record);
  if (job && s.leadership.current_role == role::kLeader && s.leader.restored)
    OnJobRecord(ctx, *job);
}

void ApplyDeletion(const context& ctx, const work::feed_item& item) {
  const std::optional<work::job_id> job = records::JobDeletedBy(item.key);
  if (job)
    ctx.state.ledger =
        records::FoldDeletion(std::move(ctx.state.ledger), item.offset, *job);
}

// Keeps a record of an earlier leader's.
void ApplyUnit(const context& ctx, const work::record& record) {
  if (const auto* admitted = std::get_if<work::worker_admitted>(&record))
    ctx.state.leader.stored_workers.insert(admitted->worker);
  const auto* stored = std::get_if<work::unit_progressed>(&record);
  if (stored == nullptr)
    return;
  ctx.state.leader.stored_units.Put(work::UnitOf(stored->job, stored->progress),
                                    stored->progress);
}

void Apply(const context& ctx,
           const work::feed_item&,
           const work::published_catalog& published) {
  ActivateCatalog(ctx, published, "store");
}

void Apply(const context& ctx,
           const work::feed_item&,
           const work::registered_worker& entry) {
  if (ctx.state.leadership.current_role == role::kLeader)
    UpsertWorker(ctx, entry);
}

// Replaces what is known of evacuations, and logs the differences.
void PutEvacuations(const context& ctx,
                    evacuated_domains next,
                    std::string_view source) {
  const evacuated_domains& before = ctx.state.evacuations;
  const auto log = [&](const char* decision, const auto& failure_domain) {
    ctx.Log(decision, failure_domain.value(),
            {Field("position", next.position),
             Field("source", std::string(source))});
    ctx.state.leader.plan_due = true;
  };
  for (const auto& [failure_domain, offset] : next.active) {
    if (!before.active.contains(failure_domain))
      log("domain_evacuated", failure_domain);
  }
  for (const auto& [failure_domain, offset] : before.active) {
    if (!next.active.contains(failure_domain))
      log("domain_returned", failure_domain);
  }
  if (before.active.size() != next.active.size())
    ctx.Emit(work::set_gauge{.name = "domains_evacuated",
                             .value = next.active.size()});
  ctx.state.evacuations = std::move(next);
}

void Apply(const context& ctx,
           const work::feed_item& item,
           const work::domain_evacuation& change) {
  PutEvacuations(ctx,
                 ApplyEvacuation(ctx.state.evacuations, item.offset, change),
                 "store");
}

void ApplyAll(const context& ctx,
              work::feed source,
              const std::vector<work::feed_item>& items) {
  for (const work::feed_item& item : items) {
    if (item.value && source == work::feed::kUnits) {
      ApplyUnit(ctx, std::get<work::record>(*item.value));
    } else if (item.value) {
      std::visit([&](const auto& each) { Apply(ctx, item, each); },
                 *item.value);
    } else if (source == work::feed::kWorkers) {
      MarkWorkerUnlisted(ctx, work::worker_id(item.key));
    } else if (source == work::feed::kRecords && item.deleted) {
      ApplyDeletion(ctx, item);
    }
  }
}

// Marks workers that are not in the snapshot as unlisted.
void MarkUnlistedWorkers(const context& ctx,
                         const std::set<std::string>& listed) {
  std::vector<work::worker_id> gone;
  for (const auto& [worker, row] : ctx.state.leader.workers) {
    if (row.is_listed && !listed.contains(worker.value()))
      gone.push_back(worker);
  }
  for (const work::worker_id& worker : gone)
    MarkWorkerUnlisted(ctx, worker);
}

duration ReadPause(const context& ctx, work::feed source, bool had_items) {
  if (source == work::feed::kWorkers)
    return ctx.limits().worker_list_interval;
  const bool follower = ctx.state.leadership.current_role != role::kLeader;
  if (source == work::feed::kRecords && follower && had_items)
    return ctx.limits().follower_read_pause;
  return duration(0);
}

void Poll(const context& ctx, work::feed source) {
  feed_state& feed = StateOf(ctx, source);
  if (feed.in_flight || ctx.now() < feed.next_at)
    return;
  feed.in_flight = ctx.NewCall();
  feed.sent_at = ctx.now();
  if (!feed.snapshot_complete) {
    ctx.Emit(work::read_newest{.call = *feed.in_flight,
                               .source = source,
                               .after = feed.snapshot_page_after,
                               .timeout = ctx.limits().read_timeout});
    return;
  }
  const bool waits = source != work::feed::kWorkers;
  ctx.Emit(work::read_feed{.call = *feed.in_flight,
                           .source = source,
                           .from = feed.position,
                           .wait = waits ? ctx.limits().read_wait : duration(0),
                           .timeout = ctx.limits().read_timeout});
}

// Sends the confirming read that calls wait for, once the one before has ended.
void ConfirmIfDue(const context& ctx) {
  confirming_read_state& confirming = ctx.state.confirming_reads;
  const feed_state& records = ctx.state.records;
  const bool can_send = confirming.due && !confirming.in_flight &&
                        records.snapshot_complete &&
                        ctx.now() >= confirming.next_at;
  if (!can_send)
    return;
  confirming.due = false;
  confirming.in_flight = ctx.NewCall();
  confirming.sent += 1;
  ctx.Emit(
      work::read_feed{.call = *confirming.in_flight,
                      .source = work::feed::kRecords,
                      .from = std::max(records.position, confirming.position),
                      .timeout = ctx.limits().append_timeout});
}

// Repeats a confirming read that failed, if a call still waits for it.
void RepeatConfirmingRead(const context& ctx) {
  confirming_read_state& confirming = ctx.state.confirming_reads;
  confirming.in_flight.reset();
  confirming.due = HasUnconfirmedCalls(ctx);
  confirming.next_at = ctx.now() + StoreRetryPause(ctx, ctx.limits().read_retry,
                                                   confirming.failed_reads);
  confirming.failed_reads += 1;
}

// Reads the feed from its newest items again.
void RestartSnapshot(feed_state& feed) {
  feed.snapshot_complete = false;
  feed.snapshot_end.reset();
  feed.snapshot_page_after.clear();
  feed.snapshot_keys.clear();
}

// Ends the read in flight if the answer belongs to it; otherwise returns false.
bool TakeReadInFlight(feed_state& feed, call_number call) {
  if (feed.in_flight != call)
    return false;
  feed.in_flight.reset();
  return true;
}

// Followers that were trimmed together read their snapshots one after the
// other.
duration SnapshotPause(const context& ctx) {
  if (ctx.state.leadership.current_role == role::kLeader)
    return duration(0);
  return RandomUpTo(ctx.limits().store_retry_max, ctx.Random());
}

}  // namespace

void PollFeeds(const context& ctx) {
  Poll(ctx, work::feed::kCatalog);
  Poll(ctx, work::feed::kRecords);
  ConfirmIfDue(ctx);
  if (ctx.state.leadership.current_role != role::kLeader)
    return;
  Poll(ctx, work::feed::kWorkers);
  const leader_state& leader = ctx.state.leader;
  if (leader.earlier_leaders_fenced &&
      !leader.stored_units_feed.snapshot_complete)
    Poll(ctx, work::feed::kUnits);
}

void RestoreIfCaughtUp(const context& ctx) {
  state& s = ctx.state;
  const bool due = s.leadership.current_role == role::kLeader &&
                   !s.leader.restored && s.records.snapshot_complete &&
                   s.leader.stored_units_feed.snapshot_complete &&
                   s.records.position >= s.leader.election_offset;
  if (due)
    RestoreJobs(ctx);
}

void OnFeedRead(const context& ctx, const work::feed_read& event) {
  RecordStoreCall(ctx, event);
  feed_state& feed = StateOf(ctx, event.source);
  feed.known_end = std::max(feed.known_end, event.end);
  confirming_read_state& confirming = ctx.state.confirming_reads;
  if (confirming.in_flight == event.call) {
    confirming.in_flight.reset();
    confirming.failed_reads = 0;
    confirming.position = event.next;
    ApplyAll(ctx, event.source, event.items);
    ResolveConfirmedCalls(ctx);
    return;
  }
  if (!TakeReadInFlight(feed, event.call))
    return;
  feed.failed_reads = 0;
  ApplyAll(ctx, event.source, event.items);
  feed.position = event.next;
  feed.confirmed_at = feed.sent_at;
  feed.next_at = ctx.now() + ReadPause(ctx, event.source, !event.items.empty());
  if (event.source == work::feed::kCatalog)
    ctx.state.evacuations =
        AdvanceTo(std::move(ctx.state.evacuations), event.next);
  // Each catalog replaces the one before, so those in between are skipped.
  if (event.source == work::feed::kCatalog && event.next < event.end)
    RestartSnapshot(feed);
  if (event.source == work::feed::kCatalog)
    ctx.state.evacuations.listed.clear();
  if (event.source == work::feed::kRecords)
    RestoreIfCaughtUp(ctx);
}

void OnNewestRead(const context& ctx, const work::newest_read& event) {
  RecordStoreCall(ctx, event);
  feed_state& feed = StateOf(ctx, event.source);
  feed.known_end = std::max(feed.known_end, event.end);
  if (!TakeReadInFlight(feed, event.call))
    return;
  feed.failed_reads = 0;
  if (!feed.snapshot_end)
    feed.snapshot_end = event.end;
  for (const work::feed_item& item : event.items) {
    if (event.source == work::feed::kWorkers && item.value)
      feed.snapshot_keys.insert(item.key);
  }
  ApplyAll(ctx, event.source, event.items);
  feed.snapshot_page_after = event.next_page_after;
  if (!event.next_page_after.empty())
    return;
  feed.position = *feed.snapshot_end;
  feed.snapshot_end.reset();
  feed.snapshot_complete = true;
  if (event.source == work::feed::kWorkers) {
    MarkUnlistedWorkers(ctx, feed.snapshot_keys);
    feed.snapshot_keys.clear();
  }
  if (event.source == work::feed::kRecords)
    ctx.state.ledger = records::EndSnapshot(std::move(ctx.state.ledger));
  if (event.source == work::feed::kCatalog)
    PutEvacuations(ctx, EndSnapshot(ctx.state.evacuations, feed.position),
                   "store");
  RestoreIfCaughtUp(ctx);
}

void OnFeedUnread(const context& ctx, const work::feed_unread& event) {
  const bool trimmed = event.why == work::read_failure::kTrimmed;
  RecordStoreCall(ctx, event);
  if (ctx.state.confirming_reads.in_flight == event.call)
    RepeatConfirmingRead(ctx);
  feed_state& feed = StateOf(ctx, event.source);
  if (!TakeReadInFlight(feed, event.call))
    return;
  if (!trimmed) {
    feed.next_at = ctx.now() + StoreRetryPause(ctx, ctx.limits().read_retry,
                                               feed.failed_reads);
    feed.failed_reads += 1;
    return;
  }
  feed.failed_reads = 0;
  ctx.Log("feed_trimmed", NameOf(event.source),
          {Field("position", feed.position)});
  RestartSnapshot(feed);
  if (event.source == work::feed::kRecords)
    ctx.state.ledger = records::BeginSnapshot(std::move(ctx.state.ledger));
  feed.next_at = ctx.now() + SnapshotPause(ctx);
}

void ActivateCatalog(const context& ctx,
                     const work::published_catalog& published,
                     std::string_view source) {
  state& s = ctx.state;
  const work::published_catalog* current = s.in_force.Get();
  if (current != nullptr &&
      current->content.version >= published.content.version)
    return;
  ctx.Log(
      "catalog_in_force", std::to_string(published.content.version),
      {Field("source", std::string(source)),
       Field("previous", current == nullptr ? 0 : current->content.version)});
  s.in_force.Put(published);
  s.leader.plan_due = true;
}

void AdoptEvacuations(const context& ctx,
                      const work::evacuation_report& report) {
  PutEvacuations(ctx, Adopt(ctx.state.evacuations, report), "peer");
}

bool IsEvacuated(const context& ctx,
                 const work::failure_domain_id& failure_domain) {
  return ctx.state.evacuations.active.contains(failure_domain);
}

std::uint64_t RequestConfirmingRead(const context& ctx) {
  ctx.state.confirming_reads.due = true;
  return ctx.state.confirming_reads.sent + 1;
}

duration StoreRetryPause(const context& ctx,
                         duration shortest,
                         std::uint32_t failures) {
  const bool leads = ctx.state.leadership.current_role == role::kLeader;
  const duration longest =
      leads ? ctx.limits().leader_retry_max : ctx.limits().store_retry_max;
  return WithJitter(ExponentialBackoff(shortest, longest, failures),
                    ctx.Random());
}

}  // namespace parsleyhitch::dispatch
