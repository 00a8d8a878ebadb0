// Workers in the ledger: registered, leaving, suspected, lost, heard again,
// gone.

#include <algorithm>
#include <utility>

#include "scheduler/capacity.h"
#include "scheduler/fold.h"
#include "scheduler/guarantees.h"

namespace parsleyhitch::scheduler::detail {

namespace {

model::worker_status With(const model::worker_status& old,
                          model::worker_phase phase,
                          std::vector<model::entry_id> suspected_by) {
  return {.spec = old.spec,
          .phase = phase,
          .suspected_by = std::move(suspected_by),
          .failures = old.failures,
          .last_failed = old.last_failed,
          .ejected_until = old.ejected_until};
}

fold_step NoteChange(fold_step step, const model::worker_id& worker) {
  step.changes.push_back(worker_changed{.worker = worker});
  return step;
}

}  // namespace

record_step FoldRecord(const fold_rules&,
                       fold_step step,
                       model::fence,
                       const model::worker_registered& record) {
  const model::worker_status* known =
      step.ledger.workers.Find(record.spec.worker);
  if (known != nullptr)
    return Refuse(std::move(step), "/spec/worker", "is already registered");
  step.ledger = PutWorker(std::move(step.ledger), {.spec = record.spec});
  step = RetryShortGuarantees(std::move(step));
  return Accept(NoteChange(std::move(step), record.spec.worker));
}

record_step FoldRecord(const fold_rules&,
                       fold_step step,
                       model::fence,
                       const model::worker_leaving& record) {
  const model::worker_status* known = step.ledger.workers.Find(record.worker);
  if (known == nullptr || known->phase != model::worker_phase::kLive)
    return Refuse(std::move(step), "/worker", "is not live");
  const model::worker_status old = *known;
  step.ledger =
      PutWorker(std::move(step.ledger),
                With(old, model::worker_phase::kLeaving, old.suspected_by));
  step = MoveGuaranteesOff(std::move(step), record.worker);
  return Accept(NoteChange(std::move(step), record.worker));
}

record_step FoldRecord(const fold_rules& rules,
                       fold_step step,
                       model::fence,
                       const model::worker_suspected& record) {
  const model::worker_status* known = step.ledger.workers.Find(record.worker);
  if (known == nullptr || known->phase == model::worker_phase::kLost)
    return Refuse(std::move(step), "/worker", "is unknown or lost");
  if (std::ranges::count(known->suspected_by, record.by) > 0)
    return Refuse(std::move(step), "/by", "already suspects the worker");
  const model::worker_status old = *known;
  std::vector<model::entry_id> suspected_by = old.suspected_by;
  suspected_by.push_back(record.by);
  const bool lost = suspected_by.size() >= record.witnesses;
  const model::worker_phase phase =
      lost ? model::worker_phase::kLost : old.phase;
  step.ledger =
      PutWorker(std::move(step.ledger), With(old, phase, suspected_by));
  if (lost) {
    step = MoveGuaranteesOff(std::move(step), record.worker);
    step = BreakGangsOn(rules, std::move(step), record.worker);
  }
  return Accept(NoteChange(std::move(step), record.worker));
}

// A suspicion stays with a live worker: the entry that holds it can't reach the
// worker, so another stays its home.
record_step FoldRecord(const fold_rules&,
                       fold_step step,
                       model::fence,
                       const model::worker_heard& record) {
  const model::worker_status* known = step.ledger.workers.Find(record.worker);
  if (known == nullptr || known->phase != model::worker_phase::kLost)
    return Refuse(std::move(step), "/worker", "is not lost");
  const model::worker_status old = *known;
  step.ledger = PutWorker(std::move(step.ledger),
                          With(old, model::worker_phase::kLive, {}));
  step = RetryShortGuarantees(std::move(step));
  return Accept(NoteChange(std::move(step), record.worker));
}

record_step FoldRecord(const fold_rules& rules,
                       fold_step step,
                       model::fence,
                       const model::worker_removed& record) {
  const model::worker_status* known = step.ledger.workers.Find(record.worker);
  if (known == nullptr)
    return Refuse(std::move(step), "/worker", "is unknown");
  const model::worker_status old = *known;
  step.ledger = PutWorker(std::move(step.ledger),
                          With(old, model::worker_phase::kLost, {}));
  step = MoveGuaranteesOff(std::move(step), record.worker);
  step = BreakGangsOn(rules, std::move(step), record.worker);
  step.ledger = DropWorker(std::move(step.ledger), record.worker);
  return Accept(NoteChange(std::move(step), record.worker));
}

}  // namespace parsleyhitch::scheduler::detail
