// Group commit of this entry's own records, and of the leader's progress.

#include <algorithm>
#include <utility>

#include "dispatch/parts.h"

namespace parsleyhitch::dispatch {

namespace {

void FillBatch(const context& ctx, outbox& box) {
  while (!box.waiting.empty() &&
         box.batch.size() < ctx.limits().max_batch_records) {
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
                                .timeout = ctx.limits().append_timeout});
}

// An append that did nothing is taken apart again, so that its callers can be
// told so.
void TakeApart(outbox& box) {
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
  box.next_at = ctx.now() + ctx.limits().append_retry;
}

// Handles what is the same for every writer; true when the batch is stored.
bool Resolve(const context& ctx,
             outbox& box,
             work::append_outcome outcome,
             duration pause) {
  box.in_flight.reset();
  switch (outcome) {
    case work::append_outcome::kStored:
      ctx.Emit(work::observe_latency{.name = "store_append",
                                     .value = ctx.now() - box.sent_at});
      box.sequence += 1;
      box.maybe_stored = false;
      box.next_at = box.sent_at + pause;
      return true;
    case work::append_outcome::kRefused:
      if (!box.maybe_stored)
        TakeApart(box);
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

void OnSubmissionsAnswered(const context& ctx,
                           const work::append_answered& event) {
  outbox& box = ctx.state.submissions;
  if (Resolve(ctx, box, event.outcome, ctx.limits().append_pause)) {
    const std::vector<queued_record> stored = std::move(box.batch);
    box.batch.clear();
    for (const queued_record& each : stored) {
      if (each.caller)
        SettleStored(ctx, *each.caller);
    }
    return;
  }
  const bool displaced = event.outcome == work::append_outcome::kFenced ||
                         event.outcome == work::append_outcome::kOutOfSequence;
  if (!displaced)
    return;
  // Records replace equal ones under their keys, so a repeat does no harm.
  ctx.Warn("writer_displaced", box.writer,
           {Field("epoch", box.epoch), Field("sequence", box.sequence)});
  box.epoch += 1;
  box.sequence = 0;
  box.maybe_stored = false;
  RetryLater(ctx, box);
}

void OnProgressAnswered(const context& ctx,
                        const work::append_answered& event) {
  leader_state& mine = ctx.state.mine;
  if (Resolve(ctx, mine.progress, event.outcome, ctx.limits().progress_pause)) {
    mine.progress.batch.clear();
    for (const auto& [worker, noted] : mine.saving) {
      const worker_row* row = mine.workers.Find(worker);
      if (row == nullptr)
        continue;
      worker_row saved = *row;
      saved.durable = std::max(saved.durable, noted);
      mine.workers.Put(worker, std::move(saved));
      HoldIfNeeded(ctx, worker);
    }
    mine.saving.clear();
    return;
  }
  const bool deposed = event.outcome == work::append_outcome::kFenced ||
                       event.outcome == work::append_outcome::kOutOfSequence;
  if (deposed) {
    NoteEpoch(ctx, mine.epoch + 1, "append_fenced");
    return;
  }
  // Nothing was done: the jobs' progress is collected anew, as it is by then.
  for (const queued_record& each : mine.progress.waiting) {
    const std::optional<work::job_id> job = records::JobOf(each.content);
    if (job)
      mine.unsaved.insert(*job);
  }
  const bool refused = !mine.progress.waiting.empty();
  mine.progress.waiting.clear();
  if (refused)
    mine.saving.clear();
}

// Ends that changed no job need no record.
void NoteDurable(const context& ctx) {
  leader_state& mine = ctx.state.mine;
  std::vector<work::worker_id> due;
  for (const auto& [worker, row] : mine.workers) {
    if (row.noted > row.durable)
      due.push_back(worker);
  }
  for (const work::worker_id& worker : due)
    mine.saving[worker] = mine.workers.Find(worker)->noted;
}

void CollectProgress(const context& ctx) {
  leader_state& mine = ctx.state.mine;
  const bool idle = !mine.progress.in_flight && mine.progress.batch.empty() &&
                    ctx.now() >= mine.progress.next_at;
  if (!idle || mine.unsaved.empty())
    return;
  for (work::record& each : TakeUnsaved(ctx))
    mine.progress.batch.push_back({.content = std::move(each)});
  // What was noted up to here is covered only when nothing was left out.
  if (mine.unsaved.empty())
    NoteDurable(ctx);
}

}  // namespace

void FlushOutboxes(const context& ctx) {
  Flush(ctx, ctx.state.submissions);
  if (ctx.state.lead.mine != role::kLeader || !ctx.state.mine.restored)
    return;
  CollectProgress(ctx);
  Flush(ctx, ctx.state.mine.progress);
}

void OnAppendAnswered(const context& ctx, const work::append_answered& event) {
  const bool answered = event.outcome != work::append_outcome::kRefused &&
                        event.outcome != work::append_outcome::kUnknown;
  NoteStoreAnswer(ctx, answered);
  if (ctx.state.submissions.in_flight == event.call)
    OnSubmissionsAnswered(ctx, event);
  else if (ctx.state.mine.progress.in_flight == event.call)
    OnProgressAnswered(ctx, event);
  else if (ctx.state.lead.claim == event.call)
    OnClaimAnswered(ctx, event);
}

}  // namespace parsleyhitch::dispatch
