// Reducers for claims of non-idempotent requests. The first claim of a key in
// log order is the only one under which the request may run.

#include <utility>

#include "scheduler/fold.h"

namespace parsleyhitch::scheduler::detail {

namespace {

fold_step AddChange(fold_step step, const model::scoped_key& key) {
  step.changes.push_back(claim_changed{.key = key});
  return step;
}

}  // namespace

record_result FoldRecord(const fold_context&,
                         fold_step step,
                         model::fence,
                         const model::request_claimed& record) {
  const model::scoped_key key{.owner = record.owner, .key = record.key};
  if (step.ledger.claims.Contains(key))
    return Reject(AddChange(std::move(step), key), "/key",
                  "is already claimed");
  step.ledger.claims.Put(key, {.digest = record.digest,
                               .by = record.by,
                               .incarnation = record.incarnation,
                               .at = step.ledger.clock});
  step.ledger.claims_by_time.insert({step.ledger.clock, key});
  return Accept(AddChange(std::move(step), key));
}

record_result FoldRecord(const fold_context&,
                         fold_step step,
                         model::fence,
                         const model::request_finished& record) {
  const model::scoped_key key{.owner = record.owner, .key = record.key};
  const model::request_claim* claim = step.ledger.claims.Find(key);
  if (claim == nullptr || claim->result || claim->by != record.by)
    return Reject(std::move(step), "/key", "has no open claim of this entry");
  const model::request_claim old = *claim;
  if (record.result.outcome == model::request_outcome::kNotRun) {
    step.ledger.claims.Erase(key);
    step.ledger.claims_by_time.erase({old.at, key});
    return Accept(AddChange(std::move(step), key));
  }
  step.ledger.claims.Put(key, {.digest = old.digest,
                               .by = old.by,
                               .incarnation = old.incarnation,
                               .at = old.at,
                               .result = record.result});
  return Accept(AddChange(std::move(step), key));
}

}  // namespace parsleyhitch::scheduler::detail
