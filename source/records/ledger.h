// What the store's records add up to: jobs, members and the leader. Every entry
// folds the same records; a record older than one already folded under its key
// changes nothing, so pages and reads may overlap.

#ifndef PARSLEYHITCH_RECORDS_LEDGER_H_
#define PARSLEYHITCH_RECORDS_LEDGER_H_

#include <cstdint>
#include <optional>

#include "model/value_cell.h"
#include "model/value_table.h"
#include "work/record.h"

namespace parsleyhitch::records {

// A job as far as its records are known, in whichever order they came.
struct job_entry {
  // Absent until the submission is read.
  model::value_cell<work::submission> content;
  // Position of the newest submission; jobs are served in this order.
  std::uint64_t accepted = 0;
  bool cancelled = false;
  model::value_cell<work::job_progressed> progress;
  // Position of the newest progress.
  std::uint64_t progressed = 0;

  bool operator==(const job_entry&) const = default;
};

struct member_entry {
  work::member_joined content;
  std::uint64_t joined = 0;

  bool operator==(const member_entry&) const = default;
};

struct ledger {
  model::value_table<work::job_id, job_entry> jobs;
  model::value_table<work::entry_id, member_entry> members;
  // Epoch 0: nobody was ever elected.
  std::uint64_t epoch = 0;
  work::entry_id leader;
  // Position of its election.
  std::uint64_t elected = 0;

  bool operator==(const ledger&) const = default;
};

// The ledger after the record at `offset`.
ledger Fold(ledger folded, std::uint64_t offset, const work::record& record);

// The job that the record is about, if any.
std::optional<work::job_id> JobOf(const work::record& record);

// Null unless the job was accepted.
const job_entry* FindJob(const ledger& folded, const work::job_id& job);

work::job_phase PhaseOf(const job_entry& job);

// The leader's process has started anew since its election, so it leads no
// more.
bool HasLeaderRestarted(const ledger& folded);

// Open jobs of the queue that have not begun.
std::uint64_t CountWaiting(const ledger& folded, const work::queue_id& queue);

}  // namespace parsleyhitch::records

#endif  // PARSLEYHITCH_RECORDS_LEDGER_H_
