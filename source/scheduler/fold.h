// Folding the platform's log into the ledger. A record takes effect at its
// position if it is still feasible there, else it is void; every entry computes
// the same verdict.

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

// What became of one record. `author` and the position in its batch let the
// appender match it to the call that waits for it.
struct record_verdict {
  const model::writer author;
  const std::uint64_t sequence = 0;
  const std::uint32_t index = 0;
  const bool accepted = false;
  const model::findings faults{};
  bool operator==(const record_verdict&) const = default;
};

// The tasks of a job on these workers changed.
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

struct guarantee_short {
  const model::guarantee_id id;
  const std::string shortfall;
  bool operator==(const guarantee_short&) const = default;
};

using change = std::variant<record_verdict,
                            job_changed,
                            worker_changed,
                            claim_changed,
                            manifest_changed,
                            guarantee_short>;

using changes = std::vector<change>;

// What folding reads besides the ledger: the same at every entry.
struct fold_rules {
  const hooks& behaviour;
  const model::limits& limits;
};

// The ledger so far with the changes that led to it.
struct fold_step {
  model::ledger ledger;
  scheduler::changes changes;
};

// Folds the batch at the ledger's next offset. A repeated batch only advances
// the offset.
fold_step FoldBatch(const fold_rules& rules,
                    fold_step step,
                    const model::logged_batch& batch);

namespace detail {

// One record's result: the step, and the findings that make the record void.
struct record_step {
  fold_step step;
  model::findings faults;
};

record_step Accept(fold_step step);
record_step Refuse(fold_step step, std::string place, std::string message);

// The reducers by kind of record. `position` is the record's fence.
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::manifest_published&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::worker_registered&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::worker_leaving&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::worker_suspected&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::worker_heard&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::worker_removed&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::job_submitted&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::job_placed&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::job_preempted&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::job_cancelled&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::tasks_reported&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::request_claimed&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::request_finished&);
record_step FoldRecord(const fold_rules&,
                       fold_step,
                       model::fence,
                       const model::checkpoint_chunk&);

// Stops the gangs that have a member on a lost worker.
fold_step BreakGangsOn(const fold_rules& rules,
                       fold_step step,
                       const model::worker_id& worker);

}  // namespace detail

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_FOLD_H_
