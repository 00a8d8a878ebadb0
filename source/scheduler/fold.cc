// Entry point of the fold: skips duplicate batches, advances the clock and
// passes each record to the reducer of its kind.

#include "scheduler/fold.h"

#include <algorithm>
#include <utility>

#include "scheduler/guarantees.h"
#include "scheduler/manifest_rules.h"

namespace parsleyhitch::scheduler {

namespace {

// The low bits of a fence hold the record's index in its batch, the others the
// batch's offset.
constexpr std::uint32_t kFenceIndexBits = 16;

bool IsDuplicate(const model::ledger& ledger, const model::batch& batch) {
  const std::uint64_t* last = ledger.last_sequence.Find(
      {.entry = batch.by, .incarnation = batch.incarnation});
  return last != nullptr && batch.sequence <= *last;
}

// Batches of an older incarnation of an entry are ignored once one of a newer
// incarnation has been folded.
bool IsFromOlderIncarnation(const model::ledger& ledger,
                            const model::batch& batch) {
  for (const auto& [writer, sequence] : ledger.last_sequence) {
    if (writer.entry == batch.by && writer.incarnation > batch.incarnation)
      return true;
  }
  return false;
}

// Stores the batch's sequence number. Only the newest incarnation of an entry
// is kept.
model::ledger UpdateLastSequence(model::ledger ledger,
                                 const model::batch& batch) {
  std::vector<model::writer> older;
  for (const auto& [writer, sequence] : ledger.last_sequence) {
    if (writer.entry == batch.by && writer.incarnation < batch.incarnation)
      older.push_back(writer);
  }
  for (const model::writer& writer : older)
    ledger.last_sequence.Erase(writer);
  ledger.last_sequence.Put(
      {.entry = batch.by, .incarnation = batch.incarnation}, batch.sequence);
  return ledger;
}

model::ledger ExpireClaims(model::ledger ledger, const model::limits& limits) {
  while (!ledger.claims_by_time.empty()) {
    const auto oldest = *ledger.claims_by_time.begin();
    if (oldest.first + limits.key_retention > ledger.clock)
      break;
    ledger.claims.Erase(oldest.second);
    ledger.claims_by_time.erase(ledger.claims_by_time.begin());
  }
  return ledger;
}

}  // namespace

fold_step FoldBatch(const fold_context& context,
                    fold_step step,
                    const model::logged_batch& logged) {
  const model::batch& batch = logged.content;
  step.ledger.next_offset = logged.offset + 1;
  if (IsDuplicate(step.ledger, batch) ||
      IsFromOlderIncarnation(step.ledger, batch))
    return step;
  step.ledger = UpdateLastSequence(std::move(step.ledger), batch);
  step.ledger.clock = std::max(step.ledger.clock, batch.at);
  const model::writer author{.entry = batch.by,
                             .incarnation = batch.incarnation};
  std::uint32_t index = 0;
  for (const model::record& record : batch.records) {
    const model::fence position = (logged.offset << kFenceIndexBits) | index;
    detail::record_result folded = std::visit(
        [&](const auto& each) {
          return detail::FoldRecord(context, std::move(step), position, each);
        },
        record);
    step = std::move(folded.step);
    step.changes.push_back(record_verdict{.author = author,
                                          .sequence = batch.sequence,
                                          .index = index,
                                          .accepted = folded.faults.empty(),
                                          .faults = std::move(folded.faults)});
    ++index;
  }
  step.ledger = ExpireClaims(std::move(step.ledger), context.limits);
  return step;
}

namespace detail {

record_result Accept(fold_step step) {
  return {.step = std::move(step), .faults = {}};
}

record_result Reject(fold_step step, std::string place, std::string message) {
  return {.step = std::move(step),
          .faults = model::OneFinding(std::move(place), std::move(message))};
}

record_result FoldRecord(const fold_context& context,
                         fold_step step,
                         model::fence,
                         const model::manifest_published& record) {
  const model::manifest* in_force = step.ledger.in_force.Get();
  if (!context.behaviour.supersedes(in_force, record.proposed)) {
    return Reject(std::move(step), "/base",
                  "the version in force is not the base of this manifest");
  }
  model::findings faults = CheckManifest(record.proposed);
  if (faults.empty())
    faults = CheckAgainstFleet(record.proposed, step.ledger);
  if (!faults.empty())
    return {.step = std::move(step), .faults = std::move(faults)};
  step.ledger.in_force.Put(record.proposed);
  step = ApplyGuarantees(std::move(step));
  step.changes.push_back(manifest_changed{.version = record.proposed.version});
  return Accept(std::move(step));
}

// A checkpoint holds nothing new for an entry that has folded the log up to it.
record_result FoldRecord(const fold_context&,
                         fold_step step,
                         model::fence,
                         const model::checkpoint_chunk&) {
  return Accept(std::move(step));
}

}  // namespace detail

}  // namespace parsleyhitch::scheduler
