// The platform's log: reading and folding, group commit of this entry's
// records, repeats of ambiguous appends, recovery from a checkpoint, relay to
// peers.

#include <algorithm>
#include <utility>
#include <variant>

#include "scheduler/checkpoint.h"
#include "scheduler/reduce_parts.h"

namespace parsleyhitch::scheduler::detail {

namespace {

constexpr char kCheckpointSubject[] = "checkpoint";

// Until it has caught up the entry wants to know where the log ends, so the log
// must not hold an empty answer back.
step ReadOn(const environment& environment, step step) {
  const log_state& log = step.state.log;
  const bool catching_up = !log.caught_up && !log.recovering;
  const std::uint64_t from =
      log.recovering ? log.recover_from : step.state.ledger.next_offset;
  const model::duration wait =
      catching_up ? model::duration::zero() : environment.limits.read_wait;
  return Emit(std::move(step),
              model::read_log{.from = from,
                              .wait = wait,
                              .timeout = environment.limits.read_timeout});
}

// Remembers the batch for peers that can't read the log themselves.
step KeepRecent(const environment& environment,
                step step,
                const model::logged_batch& batch) {
  step.state.log.recent.push_back(batch);
  if (step.state.log.recent.size() > environment.limits.relay_buffer_batches)
    step.state.log.recent.pop_front();
  return step;
}

// The batch in flight has been read back: its waiters' verdicts are known.
step TakeVerdict(const environment& environment,
                 step step,
                 const record_verdict& verdict) {
  const bool own = verdict.author.entry == environment.me &&
                   verdict.author.incarnation == step.state.incarnation;
  const model::batch* in_flight = step.state.log.in_flight.Get();
  if (!own || in_flight == nullptr || in_flight->sequence != verdict.sequence)
    return step;
  const waiter waits = step.state.log.in_flight_waiters.at(verdict.index);
  if (!verdict.accepted)
    step = Count(std::move(step), "records_void_total");
  return OnVerdict(environment, std::move(step), verdict, waits);
}

step TakeChange(const environment& environment,
                step step,
                const record_verdict& change) {
  return TakeVerdict(environment, std::move(step), change);
}

step TakeChange(const environment& environment,
                step step,
                const job_changed& change) {
  step.state.calls.plan_due = true;
  const bool over = !step.state.ledger.placements.Contains(change.job);
  for (const model::worker_id& worker : change.workers) {
    if (over)
      step.state.workers.reported.Erase({.worker = worker, .job = change.job});
    step = SyncSoon(environment, std::move(step), worker);
  }
  return step;
}

step TakeChange(const environment& environment,
                step step,
                const worker_changed& change) {
  step.state.calls.plan_due = true;
  return OnWorkerChanged(environment, std::move(step), change.worker);
}

step TakeChange(const environment& environment,
                step step,
                const claim_changed& change) {
  return OnClaimChanged(environment, std::move(step), change.key);
}

step TakeChange(const environment&, step step, const manifest_changed& change) {
  step.state.calls.plan_due = true;
  return Log(std::move(step), model::severity::kInfo, "manifest in force",
             std::to_string(change.version));
}

step TakeChange(const environment&, step step, const guarantee_short& change) {
  step = Count(std::move(step), "guarantees_short_total");
  return Log(std::move(step), model::severity::kWarning,
             "guarantee short: " + change.shortfall,
             change.id.owner.value() + "/" + change.id.name);
}

// Forgets the batch in flight once its sequence has been folded.
step SettleInFlight(const environment& environment, step step) {
  const model::batch* in_flight = step.state.log.in_flight.Get();
  if (in_flight == nullptr)
    return step;
  const std::uint64_t* last = step.state.ledger.last_sequence.Find(
      {.entry = environment.me, .incarnation = step.state.incarnation});
  if (last == nullptr || *last < in_flight->sequence)
    return step;
  step.state.log.in_flight.Clear();
  step.state.log.in_flight_waiters.clear();
  step.state.log.next_append =
      step.state.log.last_append + environment.limits.append_interval;
  return step;
}

step Fold(const environment& environment,
          step step,
          const model::logged_batch& batch) {
  const fold_context rules{.behaviour = environment.behaviour,
                           .limits = environment.limits};
  fold_step folded = FoldBatch(
      rules, {.ledger = std::move(step.state.ledger), .changes = {}}, batch);
  step.state.ledger = std::move(folded.ledger);
  ++step.state.log.batches_since_checkpoint;
  for (const change& change : folded.changes) {
    step = std::visit(
        [&](const auto& each) {
          return TakeChange(environment, std::move(step), each);
        },
        change);
  }
  step = SettleInFlight(environment, std::move(step));
  return KeepRecent(environment, std::move(step), batch);
}

// The last chunk of a checkpoint in the batch; null when there is none.
const model::checkpoint_chunk* LastChunkIn(const model::batch& batch) {
  for (const model::record& record : batch.records) {
    const auto* chunk = std::get_if<model::checkpoint_chunk>(&record);
    if (chunk != nullptr && chunk->index + 1 == chunk->count)
      return chunk;
  }
  return nullptr;
}

// Starts over at the oldest record kept: the ones this entry needs are gone.
step StartRecovery(step step, std::uint64_t first_offset) {
  step.state.log.recovering = true;
  step.state.log.caught_up = false;
  step.state.log.recover_from = first_offset;
  step.state.log.collector = {};
  step = Count(std::move(step), "recoveries_total");
  return Log(std::move(step), model::severity::kWarning,
             "records were trimmed; looking for a checkpoint",
             std::to_string(first_offset));
}

step AdoptLedger(const environment& environment,
                 step step,
                 model::ledger restored) {
  step.state.log.recovering = false;
  step.state.log.collector = {};
  step.state.log.checkpoint_upto = restored.next_offset;
  const std::string offset = std::to_string(restored.next_offset);
  step.state.ledger = std::move(restored);
  step.state.calls.planned_records = 0;
  step = Log(std::move(step), model::severity::kInfo,
             "restored from a checkpoint", offset);
  std::vector<model::worker_id> workers;
  for (const auto& [worker, status] : step.state.ledger.workers)
    workers.push_back(worker);
  for (const model::worker_id& worker : workers)
    step = OnWorkerChanged(environment, std::move(step), worker);
  return SettleInFlight(environment, std::move(step));
}

step RecoverFrom(const environment& environment,
                 step step,
                 const model::logged_batch& batch) {
  step.state.log.recover_from = batch.offset + 1;
  for (const model::record& record : batch.content.records) {
    const auto* chunk = std::get_if<model::checkpoint_chunk>(&record);
    // The records after the checkpoint must be there as well.
    if (chunk == nullptr || chunk->upto < step.state.log.first_offset)
      continue;
    collect_result next =
        CollectChunk(std::move(step.state.log.collector), *chunk);
    step.state.log.collector = std::move(next.collector);
    // An older checkpoint than what is known can't bring the entry forward.
    if (next.restored &&
        next.restored->next_offset >= step.state.ledger.next_offset)
      return AdoptLedger(environment, std::move(step),
                         std::move(*next.restored));
  }
  return step;
}

step NoteReadable(const environment& environment,
                  step step,
                  const model::log_read& event) {
  const bool before = step.state.log.readable;
  step.state.log.readable = true;
  if (!before)
    step = Log(std::move(step), model::severity::kInfo, "log is readable", "");
  const bool at_end = !step.state.log.recovering &&
                      step.state.ledger.next_offset >= event.end_offset;
  if (!at_end || step.state.log.caught_up)
    return step;
  step.state.log.caught_up = true;
  step.state.calls.plan_due = true;
  step = Log(std::move(step), model::severity::kInfo, "caught up with the log",
             std::to_string(event.end_offset));
  return RefreshMembership(environment, std::move(step));
}

bool CheckpointIsDue(const environment& environment, const entry_state& state) {
  if (!IsReady(state) || !state.log.readable ||
      state.log.batches_since_checkpoint == 0)
    return false;
  const bool many = state.log.batches_since_checkpoint >=
                    environment.limits.checkpoint_every_batches;
  // Records that a restart would need are gone.
  const bool trimmed = state.log.first_offset > state.log.checkpoint_upto &&
                       state.now - state.log.last_checkpoint >=
                           environment.limits.append_timeout;
  const bool old = state.now - state.log.last_checkpoint >=
                   environment.limits.checkpoint_interval;
  return (many || old || trimmed) &&
         IsHomeOf(environment, state, kCheckpointSubject);
}

step CheckpointIfDue(const environment& environment, step step) {
  if (!CheckpointIsDue(environment, step.state))
    return step;
  step.state.log.batches_since_checkpoint = 0;
  step.state.log.last_checkpoint = step.state.now;
  for (model::checkpoint_chunk& chunk :
       TakeCheckpoint(step.state.ledger, environment.me, environment.limits)) {
    step = Append(std::move(step), std::move(chunk), {});
  }
  return Count(std::move(step), "checkpoints_total");
}

bool IsChunk(const pending_record& pending) {
  return std::holds_alternative<model::checkpoint_chunk>(pending.content);
}

// Puts queued records into the next batch. A checkpoint's chunk goes alone.
step FillBatch(const environment& environment, step step) {
  log_state& log = step.state.log;
  std::vector<model::record> records;
  while (!log.queue.empty() &&
         records.size() < environment.limits.max_batch_records) {
    const bool chunk = IsChunk(log.queue.front());
    if (chunk && !records.empty())
      break;
    records.push_back(log.queue.front().content);
    log.in_flight_waiters.push_back(log.queue.front().waits);
    log.queue.pop_front();
    if (chunk)
      break;
  }
  log.in_flight.Put({.by = environment.me,
                     .incarnation = step.state.incarnation,
                     .sequence = log.next_sequence,
                     .at = step.state.now,
                     .records = std::move(records)});
  ++log.next_sequence;
  return step;
}

// Appends the batch in flight; the same one again when an answer was lost.
step SendBatch(const environment& environment, step step) {
  step.state.log.append_open = true;
  step.state.log.last_append = step.state.now;
  step = Count(std::move(step), "appends_total");
  model::append_batch append{.content = *step.state.log.in_flight.Get(),
                             .timeout = environment.limits.append_timeout};
  return Emit(std::move(step), std::move(append));
}

}  // namespace

bool IsReady(const entry_state& state) {
  return state.log.caught_up && !state.log.recovering;
}

step StartReading(const environment& environment, step step) {
  return ReadOn(environment, std::move(step));
}

step FoldIfNext(const environment& environment,
                step step,
                const model::logged_batch& batch) {
  if (step.state.log.recovering ||
      batch.offset != step.state.ledger.next_offset)
    return step;
  step = Fold(environment, std::move(step), batch);
  const model::checkpoint_chunk* chunk = LastChunkIn(batch.content);
  if (chunk == nullptr)
    return step;
  step.state.log.last_checkpoint = step.state.now;
  step.state.log.batches_since_checkpoint = 0;
  step.state.log.checkpoint_upto = chunk->upto;
  return step;
}

step On(const environment& environment,
        step step,
        const model::log_read& event) {
  step.state.log.first_offset = event.first_offset;
  const bool trimmed = event.first_offset > step.state.ledger.next_offset;
  const bool again = step.state.log.recovering &&
                     event.first_offset > step.state.log.recover_from;
  if ((trimmed && !step.state.log.recovering) || again) {
    step = StartRecovery(std::move(step), event.first_offset);
    step = RefreshMembership(environment, std::move(step));
  }
  for (const model::logged_batch& batch : event.batches) {
    if (step.state.log.recovering &&
        batch.offset == step.state.log.recover_from)
      step = RecoverFrom(environment, std::move(step), batch);
    else
      step = FoldIfNext(environment, std::move(step), batch);
  }
  step = NoteReadable(environment, std::move(step), event);
  step = CheckpointIfDue(environment, std::move(step));
  return ReadOn(environment, std::move(step));
}

step On(const environment& environment, step step, const model::log_unread&) {
  if (step.state.log.readable) {
    step = Log(std::move(step), model::severity::kWarning, "log can't be read",
               "");
    step = Count(std::move(step), "log_outages_total");
  }
  step.state.log.readable = false;
  const model::timestamp retry_at =
      step.state.now + environment.limits.read_retry;
  return SetAlarm(std::move(step),
                  {.at = retry_at, .kind = alarm_kind::kReadLog});
}

// An answered batch is read back soon; it is repeated only if not.
step On(const environment& environment,
        step step,
        const model::append_answered&) {
  step.state.log.append_open = false;
  if (step.state.log.in_flight.Get() != nullptr)
    step.state.log.next_append =
        step.state.now + environment.limits.append_retry;
  return step;
}

step On(const environment& environment,
        step step,
        const model::append_unanswered&) {
  step.state.log.append_open = false;
  step.state.log.next_append = step.state.now + environment.limits.append_retry;
  step = Count(std::move(step), "appends_unanswered_total");
  const model::timestamp retry_at = step.state.log.next_append;
  return SetAlarm(std::move(step),
                  {.at = retry_at, .kind = alarm_kind::kAppend});
}

step Append(step step, model::record record, waiter waits) {
  step.state.log.queue.push_back(
      {.content = std::move(record), .waits = waits});
  return step;
}

step AppendIfDue(const environment& environment, step step) {
  const log_state& log = step.state.log;
  if (log.append_open || !step.state.log.caught_up)
    return step;
  const bool nothing = log.in_flight.Get() == nullptr && log.queue.empty();
  if (nothing)
    return step;
  const model::timestamp earliest = log.next_append;
  if (step.state.now < earliest) {
    return SetAlarm(std::move(step),
                    {.at = earliest, .kind = alarm_kind::kAppend});
  }
  if (log.in_flight.Get() == nullptr)
    step = FillBatch(environment, std::move(step));
  return SendBatch(environment, std::move(step));
}

}  // namespace parsleyhitch::scheduler::detail
