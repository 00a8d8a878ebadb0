// Counts the calls to the store by kind and outcome, and reports outages of its
// streams.

#include <algorithm>
#include <optional>
#include <string>

#include "dispatch/names.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

constexpr std::uint32_t kOk = 200;

// One call to the store, as named in log lines and metrics.
struct store_call {
  const std::string name;
  // Absent when it is not known any more.
  const std::optional<work::feed> stream{};
  const std::string outcome;
  const bool answered = false;
  const work::store_exchange exchange{};
};

std::string FailureOf(const work::store_exchange& exchange) {
  if (!exchange.sent)
    return "no_connection";
  if (exchange.status == 0)
    return "no_answer";
  return exchange.status == kOk ? "unreadable"
                                : "status_" + std::to_string(exchange.status);
}

std::string OutcomeOf(const work::append_answered& event) {
  switch (event.outcome) {
    case work::append_outcome::kStored:
      return "stored";
    case work::append_outcome::kFenced:
      return "fenced";
    case work::append_outcome::kOutOfSequence:
      return "out_of_sequence";
    case work::append_outcome::kRefused:
    case work::append_outcome::kRejected:
    case work::append_outcome::kUnknown:
      break;
  }
  return FailureOf(event.exchange);
}

std::string ReadName(const context& ctx, work::feed source, call_number call) {
  if (ctx.state.confirming_reads.in_flight == call)
    return "confirm_" + NameOf(source);
  const bool snapshot = !StateOf(ctx, source).snapshot_complete;
  return (snapshot ? "newest_" : "read_") + NameOf(source);
}

// Who made an append, and to which stream; the stream of a leader that has
// stepped down is not known any more.
struct append_origin {
  const std::string name;
  const std::optional<work::feed> stream{};
};

append_origin OriginOf(const context& ctx, call_number call) {
  if (ctx.state.submissions.in_flight == call)
    return {.name = "append_submissions", .stream = work::feed::kRecords};
  if (ctx.state.leader.job_phases.in_flight == call)
    return {.name = "append_phases", .stream = work::feed::kRecords};
  if (ctx.state.leader.unit_progress.in_flight == call)
    return {.name = "append_units", .stream = work::feed::kUnits};
  if (ctx.state.leadership.claim == call)
    return {.name = "append_claim", .stream = work::feed::kRecords};
  return {.name = "append_late"};
}

void CountCall(const context& ctx, const store_call& call) {
  const std::string metric = "store_" + call.name + "_";
  ctx.Count(metric + call.outcome);
  if (call.exchange.bytes_read > 0)
    ctx.Count(metric + "bytes_read", call.exchange.bytes_read);
  if (call.exchange.bytes_written > 0)
    ctx.Count(metric + "bytes_written", call.exchange.bytes_written);
}

void Record(const context& ctx, const store_call& call) {
  CountCall(ctx, call);
  if (!call.stream)
    return;
  const std::string stream = NameOf(*call.stream);
  stream_health& health = ctx.state.store_health[*call.stream];
  std::optional<timestamp>& since = health.failing_since;
  if (call.answered && since) {
    const duration lost_for = ctx.now() - *since;
    ctx.Log("store_recovered", stream,
            {Field("lost_for", lost_for), Field("call", call.name)});
    // An outage may begin as long before it is noticed as a read takes.
    if (lost_for + ctx.limits().read_timeout >= ctx.limits().unlisted_gone)
      health.outage_ended_at = ctx.now();
    since.reset();
    health.recovered_at = ctx.now();
  }
  if (!call.answered && !since) {
    ctx.Warn("store_lost", stream,
             {Field("call", call.name), Field("outcome", call.outcome),
              Field("status", call.exchange.status),
              Field("bytes_read", call.exchange.bytes_read)});
    since = ctx.now();
  }
}

template <typename Event>
void RecordRead(const context& ctx,
                const Event& event,
                const std::string& outcome,
                bool answered) {
  Record(ctx, {.name = ReadName(ctx, event.source, event.call),
               .stream = event.source,
               .outcome = outcome,
               .answered = answered,
               .exchange = event.exchange});
}

}  // namespace

void RecordStoreCall(const context& ctx, const work::feed_read& event) {
  RecordRead(ctx, event, "done", true);
}

void RecordStoreCall(const context& ctx, const work::newest_read& event) {
  RecordRead(ctx, event, "done", true);
}

void RecordStoreCall(const context& ctx, const work::feed_unread& event) {
  const bool trimmed = event.why == work::read_failure::kTrimmed;
  RecordRead(ctx, event, trimmed ? "trimmed" : FailureOf(event.exchange),
             trimmed);
}

void RecordStoreCall(const context& ctx, const work::append_answered& event) {
  if (ctx.state.submissions.in_flight == event.call) {
    feed_state& records = ctx.state.records;
    records.known_end = std::max(records.known_end, event.end);
  }
  const bool answered = event.outcome != work::append_outcome::kRefused &&
                        event.outcome != work::append_outcome::kUnknown;
  const append_origin origin = OriginOf(ctx, event.call);
  Record(ctx, {.name = origin.name,
               .stream = origin.stream,
               .outcome = OutcomeOf(event),
               .answered = answered,
               .exchange = event.exchange});
}

stream_health HealthOf(const context& ctx, work::feed stream) {
  const auto found = ctx.state.store_health.find(stream);
  return found == ctx.state.store_health.end() ? stream_health()
                                               : found->second;
}

bool IsStreamFailing(const context& ctx, work::feed stream, duration at_least) {
  const std::optional<timestamp> since = HealthOf(ctx, stream).failing_since;
  return since && ctx.now() - *since >= at_least;
}

bool IsStoreFailing(const context& ctx, duration at_least) {
  return IsStreamFailing(ctx, work::feed::kRecords, at_least);
}

bool IsAnyStreamFailing(const context& ctx) {
  return std::ranges::any_of(ctx.state.store_health, [](const auto& entry) {
    return entry.second.failing_since.has_value();
  });
}

void ForgetLeaderStreams(const context& ctx) {
  for (const work::feed stream : {work::feed::kWorkers, work::feed::kUnits})
    ctx.state.store_health[stream].failing_since.reset();
}

}  // namespace parsleyhitch::dispatch
