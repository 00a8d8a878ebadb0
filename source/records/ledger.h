// The state derived from the store's records: jobs, members and the leader.
// Every entry folds the same records, one by one, into its own copy. A record
// older than one that was already folded for its key has no effect, so pages
// and reads may overlap.

#ifndef PARSLEYHITCH_RECORDS_LEDGER_H_
#define PARSLEYHITCH_RECORDS_LEDGER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "model/value_cell.h"
#include "model/value_table.h"
#include "work/record.h"

namespace parsleyhitch::records {

// What is kept of the submission of a closed job.
struct job_outline {
  work::workspace_id owner;
  // Of each step, the resources of one task, which may still run.
  std::vector<work::resources> needs;

  bool operator==(const job_outline&) const = default;
};

// A job as known from its records, which may be read in any order.
// Invariant: at most one of `content` and `outline` is present; neither is
// until the submission is read.
struct stored_job {
  // Until a closed phase is read.
  model::value_cell<work::submission> content;
  // From then on.
  model::value_cell<job_outline> outline;
  // Offset of the submission; jobs are served in this order.
  std::uint64_t accepted = 0;
  // The phase in the newest progress record, and its offset; absent until one
  // is read.
  work::job_phase phase = work::job_phase::kQueued;
  std::optional<std::uint64_t> progressed;
  // Offsets of the first cancellation and of the first progress record of a
  // closed phase. The earlier of the two decides how the job ended.
  std::optional<std::uint64_t> cancelled_at;
  std::optional<std::uint64_t> closed_at;
  // When this process first read that it is closed; before that, when it first
  // read of it. No clock of another machine takes part in it.
  work::timestamp since;
  // The snapshot of the records in which it was last read, or which was last
  // read before.
  std::uint32_t snapshot = 0;

  bool operator==(const stored_job&) const = default;
};

struct stored_member {
  work::member_joined content;
  // Offset of the record.
  std::uint64_t joined = 0;

  bool operator==(const stored_member&) const = default;
};

// Invariant: `waiting` has, for each queue with such jobs, the number of its
// accepted jobs that are open and have not begun.
struct ledger {
  model::value_table<work::job_id, stored_job> jobs;
  model::value_table<work::queue_id, std::uint64_t> waiting;
  model::value_table<work::entry_id, stored_member> members;
  // Epoch of the current leader; 0 before the first election.
  std::uint64_t epoch = 0;
  work::entry_id leader;
  // Offset of the leader's election.
  std::uint64_t elected = 0;
  // How often the snapshot of the records was begun anew.
  std::uint32_t snapshot = 0;

  bool operator==(const ledger&) const = default;
};

// The ledger after applying the record at `offset`, which was read at `at`.
ledger Fold(ledger folded,
            std::uint64_t offset,
            const work::record& record,
            work::timestamp at = {});

// The ledger without the job, all of whose records were deleted at `offset`.
ledger FoldDeletion(ledger folded,
                    std::uint64_t offset,
                    const work::job_id& job);

// The newest records are read again from the first, as later ones were trimmed
// before they were read. Jobs of which none shows in them were deleted: they
// leave the ledger when the snapshot ends.
ledger BeginSnapshot(ledger folded);
ledger EndSnapshot(ledger folded);

// The job that the record concerns, if any.
std::optional<work::job_id> JobOf(const work::record& record);

// Null unless the job's submission was read.
const stored_job* FindJob(const ledger& folded, const work::job_id& job);

// True once the job's submission was read.
bool IsAccepted(const stored_job& job);

// Of an accepted job.
const work::workspace_id& OwnerOf(const stored_job& job);

// The resources of one task of the step; none if the step is not known.
work::resources NeedOf(const stored_job& job, std::uint32_t step);

work::job_phase PhaseOf(const stored_job& job);

// True for a job that needs no record any more after its time, as nothing of it
// will run: it is closed, or only has records that came too late.
bool MayBeDeleted(const stored_job& job);

// True when the leader's process restarted after its election, and so is no
// longer the leader.
bool HasLeaderRestarted(const ledger& folded);

// Number of accepted jobs of the queue that are open and have not begun.
std::uint64_t CountWaiting(const ledger& folded, const work::queue_id& queue);

}  // namespace parsleyhitch::records

#endif  // PARSLEYHITCH_RECORDS_LEDGER_H_
