// The platform's log: reads batches and folds them into the ledger, appends
// this entry's records in batches, retries appends without an answer, writes
// checkpoints and recovers from them, and keeps batches to relay to peers.

#include <algorithm>
#include <utility>
#include <variant>

#include "scheduler/checkpoint.h"
#include "scheduler/reduce_parts.h"

namespace parsleyhitch::scheduler::detail {

namespace {

constexpr char kCheckpointSubject[] = "checkpoint";

// Reads on from the next offset. While catching up, the read returns at once
// even without new batches, because its answer tells the entry where the log
// ends.
step EmitLogRead(const environment& environment, step step) {
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

// Keeps the batch for peers that can't read the log themselves.
step KeepForRelay(const environment& environment,
                  step step,
                  const model::logged_batch& batch) {
  step.state.log.relay_buffer.push_back(batch);
  if (step.state.log.relay_buffer.size() >
      environment.limits.relay_buffer_batches)
    step.state.log.relay_buffer.pop_front();
  return step;
}

// Notifies the waiter of a record of the batch in flight, which has been read
// back.
step DeliverVerdict(const environment& environment,
                    step step,
                    const record_verdict& verdict) {
  const bool own = verdict.author.entry == environment.me &&
                   verdict.author.incarnation == step.state.incarnation;
  const model::batch* in_flight = step.state.log.in_flight.Get();
  if (!own || in_flight == nullptr || in_flight->sequence != verdict.sequence)
    return step;
  const verdict_waiter waiter =
      step.state.log.in_flight_waiters.at(verdict.index);
  if (!verdict.accepted)
    step = Count(std::move(step), "records_void_total");
  return OnVerdict(environment, std::move(step), verdict, waiter);
}

step OnLedgerChange(const environment& environment,
                    step step,
                    const record_verdict& change) {
  return DeliverVerdict(environment, std::move(step), change);
}

step OnLedgerChange(const environment& environment,
                    step step,
                    const job_changed& change) {
  step.state.calls.plan_due = true;
  const bool ended = !step.state.ledger.placements.Contains(change.job);
  for (const model::worker_id& worker : change.workers) {
    if (ended)
      step.state.workers.reported.Erase({.worker = worker, .job = change.job});
    step = RequestSync(environment, std::move(step), worker);
  }
  return step;
}

step OnLedgerChange(const environment& environment,
                    step step,
                    const worker_changed& change) {
  step.state.calls.plan_due = true;
  return OnWorkerChanged(environment, std::move(step), change.worker);
}

step OnLedgerChange(const environment& environment,
                    step step,
                    const claim_changed& change) {
  return OnClaimChanged(environment, std::move(step), change.key);
}

step OnLedgerChange(const environment&,
                    step step,
                    const manifest_changed& change) {
  step.state.calls.plan_due = true;
  return Log(std::move(step), model::severity::kInfo, "manifest in force",
             std::to_string(change.version));
}

step OnLedgerChange(const environment&,
                    step step,
                    const guarantee_unmet& change) {
  step = Count(std::move(step), "guarantees_short_total");
  return Log(std::move(step), model::severity::kWarning,
             "guarantee short: " + change.shortfall,
             change.id.owner.value() + "/" + change.id.name);
}

// Clears the batch in flight once its sequence number has been folded.
step ClearConfirmedBatch(const environment& environment, step step) {
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
  const fold_context context{.behaviour = environment.behaviour,
                             .limits = environment.limits};
  fold_step folded = FoldBatch(
      context, {.ledger = std::move(step.state.ledger), .changes = {}}, batch);
  step.state.ledger = std::move(folded.ledger);
  ++step.state.log.batches_since_checkpoint;
  for (const change& change : folded.changes) {
    step = std::visit(
        [&](const auto& each) {
          return OnLedgerChange(environment, std::move(step), each);
        },
        change);
  }
  step = ClearConfirmedBatch(environment, std::move(step));
  return KeepForRelay(environment, std::move(step), batch);
}

// The final chunk of a checkpoint, if the batch contains one; otherwise null.
const model::checkpoint_chunk* LastCheckpointChunk(const model::batch& batch) {
  for (const model::record& record : batch.records) {
    const auto* chunk = std::get_if<model::checkpoint_chunk>(&record);
    if (chunk != nullptr && chunk->index + 1 == chunk->count)
      return chunk;
  }
  return nullptr;
}

// Records that this entry needs have been trimmed: reads from the oldest
// retained record on and looks for a checkpoint.
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

// Continues from a ledger that was restored from a checkpoint.
step InstallLedger(const environment& environment,
                   step step,
                   model::ledger restored) {
  step.state.log.recovering = false;
  step.state.log.collector = {};
  step.state.log.checkpoint_upto = restored.next_offset;
  const std::string offset = std::to_string(restored.next_offset);
  step.state.ledger = std::move(restored);
  step.state.calls.pending_plan_records = 0;
  step = Log(std::move(step), model::severity::kInfo,
             "restored from a checkpoint", offset);
  std::vector<model::worker_id> workers;
  for (const auto& [worker, status] : step.state.ledger.workers)
    workers.push_back(worker);
  for (const model::worker_id& worker : workers)
    step = OnWorkerChanged(environment, std::move(step), worker);
  return ClearConfirmedBatch(environment, std::move(step));
}

// Collects the checkpoint chunks of a batch until a checkpoint is complete.
step RecoverFrom(const environment& environment,
                 step step,
                 const model::logged_batch& batch) {
  step.state.log.recover_from = batch.offset + 1;
  for (const model::record& record : batch.content.records) {
    const auto* chunk = std::get_if<model::checkpoint_chunk>(&record);
    // Skip checkpoints whose subsequent records have been trimmed.
    if (chunk == nullptr || chunk->upto < step.state.log.first_offset)
      continue;
    collect_result next =
        CollectChunk(std::move(step.state.log.collector), *chunk);
    step.state.log.collector = std::move(next.collector);
    // Skip checkpoints older than the ledger.
    if (next.restored &&
        next.restored->next_offset >= step.state.ledger.next_offset)
      return InstallLedger(environment, std::move(step),
                           std::move(*next.restored));
  }
  return step;
}

step MarkReadable(const environment& environment,
                  step step,
                  const model::log_read& event) {
  const bool was_readable = step.state.log.readable;
  step.state.log.readable = true;
  if (!was_readable)
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
  // Records that a restart would need have been trimmed.
  const bool trimmed = state.log.first_offset > state.log.checkpoint_upto &&
                       state.now - state.log.last_checkpoint >=
                           environment.limits.append_timeout;
  const bool old = state.now - state.log.last_checkpoint >=
                   environment.limits.checkpoint_interval;
  return (many || old || trimmed) &&
         IsResponsibleFor(environment, state, kCheckpointSubject);
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

bool IsCheckpointChunk(const pending_record& pending) {
  return std::holds_alternative<model::checkpoint_chunk>(pending.content);
}

// Moves queued records into the next batch. A checkpoint chunk gets a batch of
// its own.
step FillBatch(const environment& environment, step step) {
  log_state& log = step.state.log;
  std::vector<model::record> records;
  while (!log.queue.empty() &&
         records.size() < environment.limits.max_batch_records) {
    const bool is_chunk = IsCheckpointChunk(log.queue.front());
    if (is_chunk && !records.empty())
      break;
    records.push_back(log.queue.front().content);
    log.in_flight_waiters.push_back(log.queue.front().waiter);
    log.queue.pop_front();
    if (is_chunk)
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

// Appends the batch in flight. Also used to send the same batch again when it
// has not been read back in time.
step SendBatch(const environment& environment, step step) {
  step.state.log.append_outstanding = true;
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
  return EmitLogRead(environment, std::move(step));
}

step FoldIfNext(const environment& environment,
                step step,
                const model::logged_batch& batch) {
  if (step.state.log.recovering ||
      batch.offset != step.state.ledger.next_offset)
    return step;
  step = Fold(environment, std::move(step), batch);
  const model::checkpoint_chunk* chunk = LastCheckpointChunk(batch.content);
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
  const bool trimmed_again = step.state.log.recovering &&
                             event.first_offset > step.state.log.recover_from;
  if ((trimmed && !step.state.log.recovering) || trimmed_again) {
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
  step = MarkReadable(environment, std::move(step), event);
  step = CheckpointIfDue(environment, std::move(step));
  return EmitLogRead(environment, std::move(step));
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
  return SetTimer(std::move(step),
                  {.at = retry_at, .kind = timer_kind::kReadLog});
}

// An appended batch should be read back soon; it is sent again only if it is
// not read back within `limits.append_retry`.
step On(const environment& environment,
        step step,
        const model::append_answered&) {
  step.state.log.append_outstanding = false;
  if (step.state.log.in_flight.Get() != nullptr)
    step.state.log.next_append =
        step.state.now + environment.limits.append_retry;
  return step;
}

step On(const environment& environment,
        step step,
        const model::append_unanswered&) {
  step.state.log.append_outstanding = false;
  step.state.log.next_append = step.state.now + environment.limits.append_retry;
  step = Count(std::move(step), "appends_unanswered_total");
  const model::timestamp retry_at = step.state.log.next_append;
  return SetTimer(std::move(step),
                  {.at = retry_at, .kind = timer_kind::kAppend});
}

step Append(step step, model::record record, verdict_waiter waiter) {
  step.state.log.queue.push_back(
      {.content = std::move(record), .waiter = waiter});
  return step;
}

step AppendIfDue(const environment& environment, step step) {
  const log_state& log = step.state.log;
  if (log.append_outstanding || !step.state.log.caught_up)
    return step;
  const bool nothing_to_append =
      log.in_flight.Get() == nullptr && log.queue.empty();
  if (nothing_to_append)
    return step;
  const model::timestamp earliest = log.next_append;
  if (step.state.now < earliest) {
    return SetTimer(std::move(step),
                    {.at = earliest, .kind = timer_kind::kAppend});
  }
  if (log.in_flight.Get() == nullptr)
    step = FillBatch(environment, std::move(step));
  return SendBatch(environment, std::move(step));
}

}  // namespace parsleyhitch::scheduler::detail
