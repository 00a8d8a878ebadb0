// Reducers for workers: registration, leaving, suspicion, loss, return after a
// loss, and removal.

#include <algorithm>
#include <utility>

#include "scheduler/capacity.h"
#include "scheduler/fold.h"
#include "scheduler/guarantees.h"

namespace parsleyhitch::scheduler::detail {

namespace {

model::worker_status WithPhase(const model::worker_status& old,
                               model::worker_phase phase,
                               std::vector<model::entry_id> suspected_by) {
  return {.spec = old.spec,
          .phase = phase,
          .suspected_by = std::move(suspected_by),
          .failures = old.failures,
          .last_failed = old.last_failed,
          .ejected_until = old.ejected_until};
}

fold_step AddChange(fold_step step, const model::worker_id& worker) {
  step.changes.push_back(worker_changed{.worker = worker});
  return step;
}

}  // namespace

record_result FoldRecord(const fold_context&,
                         fold_step step,
                         model::fence,
                         const model::worker_registered& record) {
  const model::worker_status* known =
      step.ledger.workers.Find(record.spec.worker);
  if (known != nullptr)
    return Reject(std::move(step), "/spec/worker", "is already registered");
  step.ledger = PutWorker(std::move(step.ledger), {.spec = record.spec});
  step = RetryUnmetGuarantees(std::move(step));
  return Accept(AddChange(std::move(step), record.spec.worker));
}

record_result FoldRecord(const fold_context&,
                         fold_step step,
                         model::fence,
                         const model::worker_leaving& record) {
  const model::worker_status* known = step.ledger.workers.Find(record.worker);
  if (known == nullptr || known->phase != model::worker_phase::kLive)
    return Reject(std::move(step), "/worker", "is not live");
  const model::worker_status old = *known;
  step.ledger = PutWorker(
      std::move(step.ledger),
      WithPhase(old, model::worker_phase::kLeaving, old.suspected_by));
  step = MoveReservationsOff(std::move(step), record.worker);
  return Accept(AddChange(std::move(step), record.worker));
}

record_result FoldRecord(const fold_context& context,
                         fold_step step,
                         model::fence,
                         const model::worker_suspected& record) {
  const model::worker_status* known = step.ledger.workers.Find(record.worker);
  if (known == nullptr || known->phase == model::worker_phase::kLost)
    return Reject(std::move(step), "/worker", "is unknown or lost");
  if (std::ranges::count(known->suspected_by, record.by) > 0)
    return Reject(std::move(step), "/by", "already suspects the worker");
  const model::worker_status old = *known;
  std::vector<model::entry_id> suspected_by = old.suspected_by;
  suspected_by.push_back(record.by);
  const bool lost = suspected_by.size() >= record.witnesses;
  const model::worker_phase phase =
      lost ? model::worker_phase::kLost : old.phase;
  step.ledger =
      PutWorker(std::move(step.ledger), WithPhase(old, phase, suspected_by));
  if (lost) {
    step = MoveReservationsOff(std::move(step), record.worker);
    step = StopGangsOn(context, std::move(step), record.worker);
  }
  return Accept(AddChange(std::move(step), record.worker));
}

// Clears the suspicions of a lost worker only. A suspicion of a live worker
// stands: the entry that suspects the worker can't reach it, so another entry
// stays responsible for it.
record_result FoldRecord(const fold_context&,
                         fold_step step,
                         model::fence,
                         const model::worker_heard& record) {
  const model::worker_status* known = step.ledger.workers.Find(record.worker);
  if (known == nullptr || known->phase != model::worker_phase::kLost)
    return Reject(std::move(step), "/worker", "is not lost");
  const model::worker_status old = *known;
  step.ledger = PutWorker(std::move(step.ledger),
                          WithPhase(old, model::worker_phase::kLive, {}));
  step = RetryUnmetGuarantees(std::move(step));
  return Accept(AddChange(std::move(step), record.worker));
}

record_result FoldRecord(const fold_context& context,
                         fold_step step,
                         model::fence,
                         const model::worker_removed& record) {
  const model::worker_status* known = step.ledger.workers.Find(record.worker);
  if (known == nullptr)
    return Reject(std::move(step), "/worker", "is unknown");
  const model::worker_status old = *known;
  step.ledger = PutWorker(std::move(step.ledger),
                          WithPhase(old, model::worker_phase::kLost, {}));
  step = MoveReservationsOff(std::move(step), record.worker);
  step = StopGangsOn(context, std::move(step), record.worker);
  step.ledger = DropWorker(std::move(step.ledger), record.worker);
  return Accept(AddChange(std::move(step), record.worker));
}

}  // namespace parsleyhitch::scheduler::detail
