// Group commit of this entry's records and of the leader's.

#include <algorithm>
#include <array>
#include <utility>

#include "dispatch/callers/callers.h"
#include "dispatch/fleet/fleet.h"
#include "dispatch/leadership/leadership.h"
#include "dispatch/store/store.h"
#include "records/record_key.h"

namespace parsleyhitch::dispatch {

namespace {

void FillBatch(const context& ctx, outbox& box) {
  const std::size_t most =
      box.batch_limit.value_or(ctx.limits().max_batch_records);
  std::uint64_t bytes = 0;
  while (!box.waiting.empty() && box.batch.size() < most) {
    bytes += box.waiting.front().bytes;
    if (!box.batch.empty() && bytes > ctx.env.max_append_bytes)
      return;
    box.batch.push_back(std::move(box.waiting.front()));
    box.waiting.pop_front();
  }
}

void Flush(const context& ctx, outbox& box) {
  if (box.in_flight || ctx.now() < box.next_at)
    return;
  if (box.batch.empty())
    FillBatch(ctx, box);
  if (box.batch.empty())
    return;
  box.in_flight = ctx.NewCall();
  box.sent_at = ctx.now();
  std::vector<work::record> records;
  records.reserve(box.batch.size());
  for (const queued_record& each : box.batch)
    records.push_back(each.content);
  ctx.Emit(work::append_records{.call = *box.in_flight,
                                .writer = box.writer,
                                .epoch = box.epoch,
                                .sequence = box.sequence,
                                .records = std::move(records),
                                .timeout = ctx.limits().append_timeout,
                                .target = box.target});
}

// Returns the records of an append that was not carried out to the queue, so
// that calls waiting for them can still be refused.
void RequeueBatch(outbox& box) {
  while (!box.batch.empty()) {
    box.waiting.push_front(std::move(box.batch.back()));
    box.batch.pop_back();
  }
}

void MarkMaybeStored(const context& ctx, outbox& box) {
  box.maybe_stored = true;
  for (const queued_record& each : box.batch) {
    const open_call* call =
        each.caller ? ctx.state.calls.Find(*each.caller) : nullptr;
    if (call == nullptr)
      continue;
    open_call marked = *call;
    marked.maybe_stored = true;
    ctx.state.calls.Put(*each.caller, std::move(marked));
  }
}

void RetryLater(const context& ctx, outbox& box) {
  box.next_at = ctx.now() + StoreRetryPause(ctx, ctx.limits().append_retry,
                                            box.failed_appends);
  box.failed_appends += 1;
}

void WidenBatch(const context& ctx, outbox& box) {
  if (!box.batch_limit)
    return;
  *box.batch_limit *= 2;
  if (*box.batch_limit >= ctx.limits().max_batch_records)
    box.batch_limit.reset();
}

// Begins a new epoch of the writer, which fences its appends of the old one.
// Records are stored by key, so storing one twice does no harm.
void BeginEpoch(outbox& box) {
  box.epoch += 1;
  box.sequence = 0;
  box.maybe_stored = false;
}

// True for a submission that has waited so long that its job may have been
// accepted by another entry, closed and deleted since: stored now, it would run
// again.
bool IsOutdated(const context& ctx, const queued_record& each) {
  const auto* submitted = std::get_if<work::job_submitted>(&each.content);
  return submitted != nullptr && ctx.now() - submitted->content.submitted_at >=
                                     ctx.env.job_state_kept / 2;
}

// Moves the outdated records out of the list.
template <typename List>
std::vector<queued_record> TakeOutdated(const context& ctx, List& list) {
  std::vector<queued_record> taken;
  const auto is_outdated = [&](const queued_record& each) {
    return IsOutdated(ctx, each);
  };
  if (std::ranges::none_of(list, is_outdated))
    return taken;
  List kept;
  for (queued_record& each : list) {
    if (is_outdated(each))
      taken.push_back(std::move(each));
    else
      kept.push_back(std::move(each));
  }
  list = std::move(kept);
  return taken;
}

void RefuseOutdated(const context& ctx,
                    const std::vector<queued_record>& dropped) {
  for (const queued_record& each : dropped) {
    ctx.Warn("submission_outdated", records::KeyOf(each.content));
    if (each.caller)
      AnswerRejectedCall(ctx, *each.caller);
  }
}

void DropOutdated(const context& ctx, outbox& box) {
  if (box.in_flight)
    return;
  const std::vector<queued_record> sent = TakeOutdated(ctx, box.batch);
  // The store must not take what is left for a repeat of the earlier append,
  // which may still be stored.
  if (!sent.empty() && box.maybe_stored)
    BeginEpoch(box);
  RefuseOutdated(ctx, sent);
  RefuseOutdated(ctx, TakeOutdated(ctx, box.waiting));
}

// Applies the outcome of an append that is common to all writers; true when the
// batch is stored.
bool ApplyOutcome(const context& ctx,
                  outbox& box,
                  work::append_outcome outcome,
                  duration pause) {
  box.in_flight.reset();
  box.last_append_time = ctx.now() - box.sent_at;
  switch (outcome) {
    case work::append_outcome::kStored:
      ctx.Emit(work::observe_latency{.name = "store_append",
                                     .value = ctx.now() - box.sent_at});
      box.sequence += 1;
      box.maybe_stored = false;
      box.failed_appends = 0;
      WidenBatch(ctx, box);
      box.next_at = box.sent_at + pause;
      return true;
    case work::append_outcome::kRefused:
    case work::append_outcome::kRejected:
      if (!box.maybe_stored)
        RequeueBatch(box);
      RetryLater(ctx, box);
      return false;
    case work::append_outcome::kUnknown:
      MarkMaybeStored(ctx, box);
      RetryLater(ctx, box);
      return false;
    case work::append_outcome::kFenced:
    case work::append_outcome::kOutOfSequence:
      return false;
  }
  return false;
}

void DropRejected(const context& ctx, outbox& box) {
  const queued_record rejected = std::move(box.waiting.front());
  box.waiting.pop_front();
  ctx.Warn("record_rejected", records::KeyOf(rejected.content),
           {Field("bytes", rejected.bytes)});
  ctx.Count("records_rejected");
  if (rejected.caller)
    AnswerRejectedCall(ctx, *rejected.caller);
}

// Sends the records of a rejected append again in smaller ones, and drops a
// record that was rejected on its own.
void OnSubmissionsRejected(const context& ctx, std::size_t sent) {
  outbox& box = ctx.state.submissions;
  // The store must not take the next append for a repeat of this one, which may
  // still be stored.
  if (box.maybe_stored)
    BeginEpoch(box);
  RequeueBatch(box);
  box.batch_limit = std::max<std::size_t>(sent / 2, 1);
  if (sent == 1) {
    DropRejected(ctx, box);
    return;
  }
  box.failed_appends = 0;
  box.next_at = ctx.now() + ctx.limits().append_pause;
}

void OnSubmissionsAnswered(const context& ctx,
                           const work::append_answered& event) {
  outbox& box = ctx.state.submissions;
  const std::size_t sent = box.batch.size();
  if (ApplyOutcome(ctx, box, event.outcome, ctx.limits().append_pause)) {
    const std::vector<queued_record> stored = std::move(box.batch);
    box.batch.clear();
    for (const queued_record& each : stored) {
      if (each.caller)
        AnswerStoredCall(ctx, *each.caller);
    }
    return;
  }
  if (event.outcome == work::append_outcome::kRejected) {
    OnSubmissionsRejected(ctx, sent);
    return;
  }
  const bool displaced = event.outcome == work::append_outcome::kFenced ||
                         event.outcome == work::append_outcome::kOutOfSequence;
  if (!displaced)
    return;
  ctx.Warn("writer_fenced", box.writer,
           {Field("epoch", box.epoch), Field("sequence", box.sequence)});
  BeginEpoch(box);
  RetryLater(ctx, box);
}

void OnLeaderRecordsAnswered(const context& ctx,
                             outbox& box,
                             const work::append_answered& event) {
  if (ApplyOutcome(ctx, box, event.outcome, ctx.limits().progress_pause)) {
    const std::vector<queued_record> stored = std::exchange(box.batch, {});
    for (const queued_record& each : stored)
      OnWorkerRecordStored(ctx, each.content);
    if (box.target == work::feed::kUnits)
      ctx.state.leader.earlier_leaders_fenced = true;
    SettleProcessedEnds(ctx);
    return;
  }
  const bool deposed = event.outcome == work::append_outcome::kFenced ||
                       event.outcome == work::append_outcome::kOutOfSequence;
  if (deposed)
    ObserveEpoch(ctx, ctx.state.leader.epoch + 1, "append_fenced");
  else
    ReturnChanges(ctx, box);
}

}  // namespace

bool EnqueueRecord(const context& ctx,
                   work::record record,
                   std::optional<call_number> caller) {
  const std::uint64_t bytes = ctx.env.behaviour.record_bytes(record);
  if (bytes > ctx.env.max_record_bytes)
    return false;
  ctx.state.submissions.waiting.push_back(
      {.content = std::move(record), .caller = caller, .bytes = bytes});
  return true;
}

void FlushOutboxes(const context& ctx) {
  DropOutdated(ctx, ctx.state.submissions);
  Flush(ctx, ctx.state.submissions);
  if (ctx.state.leadership.current_role != role::kLeader)
    return;
  leader_state& leader = ctx.state.leader;
  if (leader.restored)
    CollectProgress(ctx);
  Flush(ctx, leader.job_phases);
  Flush(ctx, leader.unit_progress);
}

duration AgeOfAppend(const context& ctx, const outbox& box) {
  return box.in_flight ? ctx.now() - box.sent_at : duration(0);
}

bool AreAppendsSlow(const context& ctx) {
  return std::ranges::any_of(
      std::array{&ctx.state.submissions, &ctx.state.leader.job_phases,
                 &ctx.state.leader.unit_progress},
      [&](const outbox* each) {
        return std::max(AgeOfAppend(ctx, *each), each->last_append_time) >
               ctx.limits().slow_append;
      });
}

void OnAppendAnswered(const context& ctx, const work::append_answered& event) {
  RecordStoreCall(ctx, event);
  leader_state& leader = ctx.state.leader;
  if (ctx.state.submissions.in_flight == event.call)
    OnSubmissionsAnswered(ctx, event);
  else if (leader.job_phases.in_flight == event.call)
    OnLeaderRecordsAnswered(ctx, leader.job_phases, event);
  else if (leader.unit_progress.in_flight == event.call)
    OnLeaderRecordsAnswered(ctx, leader.unit_progress, event);
  else if (ctx.state.leadership.claim == event.call)
    OnClaimAnswered(ctx, event);
}

}  // namespace parsleyhitch::dispatch
