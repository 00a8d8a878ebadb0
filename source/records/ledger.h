// The state derived from the store's records: jobs, members and the leader.
// Every entry folds the same records, one by one, into its own copy. A record
// older than one that was already folded for its key has no effect, so pages
// and reads may overlap.

#ifndef PARSLEYHITCH_RECORDS_LEDGER_H_
#define PARSLEYHITCH_RECORDS_LEDGER_H_

#include <cstdint>
#include <optional>

#include "model/value_cell.h"
#include "model/value_table.h"
#include "work/record.h"

namespace parsleyhitch::records {

// A job as known from its records, which may be read in any order.
struct stored_job {
  // Absent until the submission is read.
  model::value_cell<work::submission> content;
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

  bool operator==(const stored_job&) const = default;
};

struct stored_member {
  work::member_joined content;
  // Offset of the record.
  std::uint64_t joined = 0;

  bool operator==(const stored_member&) const = default;
};

struct ledger {
  model::value_table<work::job_id, stored_job> jobs;
  model::value_table<work::entry_id, stored_member> members;
  // Epoch of the current leader; 0 before the first election.
  std::uint64_t epoch = 0;
  work::entry_id leader;
  // Offset of the leader's election.
  std::uint64_t elected = 0;

  bool operator==(const ledger&) const = default;
};

// The ledger after applying the record at `offset`.
ledger Fold(ledger folded, std::uint64_t offset, const work::record& record);

// The job that the record concerns, if any.
std::optional<work::job_id> JobOf(const work::record& record);

// Null unless the job's submission was read.
const stored_job* FindJob(const ledger& folded, const work::job_id& job);

work::job_phase PhaseOf(const stored_job& job);

// True when the leader's process restarted after its election, and so is no
// longer the leader.
bool HasLeaderRestarted(const ledger& folded);

// Number of jobs of the queue that have not started.
std::uint64_t CountWaiting(const ledger& folded, const work::queue_id& queue);

}  // namespace parsleyhitch::records

#endif  // PARSLEYHITCH_RECORDS_LEDGER_H_
