// Folding the platform's log into the ledger. A record takes effect at its
// position in the log if it is still feasible there; otherwise it is void.
// Every entry computes the same verdict.

#ifndef PARSLEYHITCH_SCHEDULER_FOLD_H_
#define PARSLEYHITCH_SCHEDULER_FOLD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/finding.h"
#include "model/ledger.h"
#include "model/limits.h"
#include "model/record.h"
#include "scheduler/hooks.h"

namespace parsleyhitch::scheduler {

// Whether one record was accepted, and if not, why. `author`, `sequence` and
// `index`, the record's index in its batch, let the entry that appended the
// record match the verdict to the call that waits for it.
struct record_verdict {
  const model::writer author;
  const std::uint64_t sequence = 0;
  const std::uint32_t index = 0;
  const bool accepted = false;
  const model::findings faults{};
  bool operator==(const record_verdict&) const = default;
};

// The job's tasks on `workers` changed; `workers` is empty for a new job.
struct job_changed {
  const model::job_id job;
  const std::vector<model::worker_id> workers{};
  bool operator==(const job_changed&) const = default;
};

struct worker_changed {
  const model::worker_id worker;
  bool operator==(const worker_changed&) const = default;
};

struct claim_changed {
  const model::scoped_key key;
  bool operator==(const claim_changed&) const = default;
};

struct manifest_changed {
  const std::uint64_t version = 0;
  bool operator==(const manifest_changed&) const = default;
};

struct guarantee_unmet {
  const model::guarantee_id id;
  const std::string shortfall;
  bool operator==(const guarantee_unmet&) const = default;
};

using change = std::variant<record_verdict,
                            job_changed,
                            worker_changed,
                            claim_changed,
                            manifest_changed,
                            guarantee_unmet>;

using changes = std::vector<change>;

// What folding reads besides the ledger. It must be the same at every entry.
struct fold_context {
  const hooks& behaviour;
  const model::limits& limits;
};

// The ledger after the records folded so far, and the changes they made.
struct fold_step {
  model::ledger ledger;
  scheduler::changes changes;
};

// Folds the batch at the ledger's next offset. A duplicate batch, or one of an
// older incarnation of its entry, only advances the offset.
fold_step FoldBatch(const fold_context& context,
                    fold_step step,
                    const model::logged_batch& batch);

namespace detail {

// The result of folding one record. `faults` say why the record is void; they
// are empty when it was accepted.
struct record_result {
  fold_step step;
  model::findings faults;
};

record_result Accept(fold_step step);
record_result Reject(fold_step step, std::string place, std::string message);

// One reducer for each kind of record. The fence is the record's position in
// the log.
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::manifest_published&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::worker_registered&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::worker_leaving&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::worker_suspected&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::worker_heard&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::worker_removed&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::job_submitted&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::job_placed&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::job_preempted&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::job_cancelled&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::tasks_reported&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::request_claimed&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::request_finished&);
record_result FoldRecord(const fold_context&,
                         fold_step,
                         model::fence,
                         const model::checkpoint_chunk&);

// Ends the members on a lost worker and stops their gangs.
fold_step StopGangsOn(const fold_context& context,
                      fold_step step,
                      const model::worker_id& worker);

}  // namespace detail

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_FOLD_H_
