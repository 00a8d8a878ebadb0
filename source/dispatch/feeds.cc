// Each stream is read in pages of its newest items first and followed from
// there; after a trim the pages are read again.

#include <algorithm>
#include <utility>

#include "dispatch/names.h"
#include "dispatch/parts.h"

namespace parsleyhitch::dispatch {

namespace {

feed_state& StateOf(const context& ctx, work::feed source) {
  switch (source) {
    case work::feed::kRecords:
      return ctx.state.records;
    case work::feed::kCatalog:
      return ctx.state.catalogs;
    case work::feed::kWorkers:
      break;
  }
  return ctx.state.workers;
}

void Apply(const context& ctx,
           const work::feed_item& item,
           const work::record& record) {
  state& s = ctx.state;
  s.ledger = records::Fold(std::move(s.ledger), item.offset, record);
  if (const auto* elected = std::get_if<work::leader_elected>(&record))
    NoteEpoch(ctx, elected->epoch, "record");
  const std::optional<work::job_id> job = records::JobOf(record);
  if (job && s.lead.mine == role::kLeader && s.mine.restored)
    OnJobFolded(ctx, *job);
}

void Apply(const context& ctx,
           const work::feed_item&,
           const work::published_catalog& published) {
  PutInForce(ctx, published, "store");
}

void Apply(const context& ctx,
           const work::feed_item&,
           const work::registered_worker& entry) {
  if (ctx.state.lead.mine == role::kLeader)
    UpsertWorker(ctx, entry);
}

void ApplyAll(const context& ctx,
              work::feed source,
              const std::vector<work::feed_item>& items) {
  for (const work::feed_item& item : items) {
    if (item.value) {
      std::visit([&](const auto& each) { Apply(ctx, item, each); },
                 *item.value);
    } else if (source == work::feed::kWorkers) {
      DropWorker(ctx, work::worker_id(item.key));
    }
  }
}

// Workers that no page named have left while nothing was read.
void DropUnnamed(const context& ctx, const std::set<std::string>& named) {
  std::vector<work::worker_id> gone;
  for (const auto& [worker, row] : ctx.state.mine.workers) {
    if (row.is_listed && !named.contains(worker.value()))
      gone.push_back(worker);
  }
  for (const work::worker_id& worker : gone)
    DropWorker(ctx, worker);
}

duration PauseAfter(const context& ctx, work::feed source, bool had_items) {
  if (source == work::feed::kWorkers)
    return ctx.limits().worker_list_interval;
  const bool follower = ctx.state.lead.mine != role::kLeader;
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
  if (!feed.whole) {
    ctx.Emit(work::read_newest{.call = *feed.in_flight,
                               .source = source,
                               .after = feed.page_after,
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

// True when the answer belongs to the read under way.
bool Claims(feed_state& feed, call_number call) {
  if (feed.in_flight != call)
    return false;
  feed.in_flight.reset();
  return true;
}

}  // namespace

void PollFeeds(const context& ctx) {
  Poll(ctx, work::feed::kCatalog);
  Poll(ctx, work::feed::kRecords);
  if (ctx.state.lead.mine == role::kLeader)
    Poll(ctx, work::feed::kWorkers);
}

void RestoreIfCaughtUp(const context& ctx) {
  state& s = ctx.state;
  const bool due = s.lead.mine == role::kLeader && !s.mine.restored &&
                   s.records.whole && s.records.position >= s.mine.caught_up_at;
  if (due)
    RestoreJobs(ctx);
}

void OnFeedRead(const context& ctx, const work::feed_read& event) {
  NoteStoreAnswer(ctx, true);
  feed_state& feed = StateOf(ctx, event.source);
  const auto confirming = ctx.state.confirming.find(event.call);
  if (confirming != ctx.state.confirming.end()) {
    const timestamp sent_at = confirming->second;
    ctx.state.confirming.erase(confirming);
    ApplyAll(ctx, event.source, event.items);
    SettleConfirmed(ctx, sent_at);
    return;
  }
  if (!Claims(feed, event.call))
    return;
  ApplyAll(ctx, event.source, event.items);
  feed.position = event.next;
  feed.confirmed_at = feed.sent_at;
  feed.next_at =
      ctx.now() + PauseAfter(ctx, event.source, !event.items.empty());
  if (event.source == work::feed::kRecords)
    RestoreIfCaughtUp(ctx);
}

void OnNewestRead(const context& ctx, const work::newest_read& event) {
  NoteStoreAnswer(ctx, true);
  feed_state& feed = StateOf(ctx, event.source);
  if (!Claims(feed, event.call))
    return;
  if (!feed.first_end)
    feed.first_end = event.end;
  for (const work::feed_item& item : event.items) {
    if (event.source == work::feed::kWorkers && item.value)
      feed.page_keys.insert(item.key);
  }
  ApplyAll(ctx, event.source, event.items);
  feed.page_after = event.next_page_after;
  if (!event.next_page_after.empty())
    return;
  feed.position = *feed.first_end;
  feed.first_end.reset();
  feed.whole = true;
  if (event.source == work::feed::kWorkers) {
    DropUnnamed(ctx, feed.page_keys);
    feed.page_keys.clear();
  }
  if (event.source == work::feed::kRecords)
    RestoreIfCaughtUp(ctx);
}

void OnFeedUnread(const context& ctx, const work::feed_unread& event) {
  const bool trimmed = event.why == work::read_failure::kTrimmed;
  NoteStoreAnswer(ctx, trimmed);
  ctx.state.confirming.erase(event.call);
  feed_state& feed = StateOf(ctx, event.source);
  if (!Claims(feed, event.call))
    return;
  if (!trimmed) {
    feed.next_at = ctx.now() + ctx.limits().read_retry;
    return;
  }
  ctx.Log("feed_trimmed", NameOf(event.source),
          {Field("position", feed.position)});
  feed.whole = false;
  feed.first_end.reset();
  feed.page_after.clear();
  feed.page_keys.clear();
  feed.next_at = ctx.now();
}

void PutInForce(const context& ctx,
                const work::published_catalog& published,
                std::string_view source) {
  state& s = ctx.state;
  const work::published_catalog* held = s.in_force.Get();
  if (held != nullptr && held->content.version >= published.content.version)
    return;
  ctx.Log("catalog_in_force", std::to_string(published.content.version),
          {Field("source", std::string(source)),
           Field("previous", held == nullptr ? 0 : held->content.version)});
  s.in_force.Put(published);
  s.mine.plan_due = true;
}

void ConfirmRecords(const context& ctx) {
  feed_state& feed = ctx.state.records;
  if (!feed.whole)
    return;
  const call_number call = ctx.NewCall();
  ctx.state.confirming[call] = ctx.now();
  ctx.Emit(work::read_feed{.call = call,
                           .source = work::feed::kRecords,
                           .from = feed.position,
                           .timeout = ctx.limits().append_timeout});
}

void NoteStoreAnswer(const context& ctx, bool answered) {
  std::optional<timestamp>& since = ctx.state.store_trouble_since;
  if (answered && since) {
    ctx.Log("store_regained", "store", {Field("lost_for", ctx.now() - *since)});
    since.reset();
    ctx.state.store_regained_at = ctx.now();
  }
  if (!answered && !since) {
    ctx.Warn("store_lost", "store");
    since = ctx.now();
  }
}

bool IsStoreTroubled(const context& ctx, duration at_least) {
  const std::optional<timestamp>& since = ctx.state.store_trouble_since;
  return since && ctx.now() - *since >= at_least;
}

}  // namespace parsleyhitch::dispatch
