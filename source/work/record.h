// Durable state as records in the store. The newest record of each key is
// valid. A job has separate keys for its submission, its cancellation and its
// phase, as each has a different writer. Its units are kept in a stream of
// their own: they change far more often, and only a new leader reads them.

#ifndef PARSLEYHITCH_WORK_RECORD_H_
#define PARSLEYHITCH_WORK_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "work/job.h"

namespace parsleyhitch::work {

using model::entry_id;

struct job_submitted {
  const submission content{};
  bool operator==(const job_submitted&) const = default;
};

struct job_cancelled {
  const job_id job;
  bool operator==(const job_cancelled&) const = default;
};

// Written by the leader only, fenced by its epoch.
struct job_progressed {
  const job_id job;
  const job_phase phase = job_phase::kQueued;
  bool operator==(const job_progressed&) const = default;
};

// Written by the leader only, fenced by its epoch. A unit without a record has
// not been started, unless its start is still to be stored: then the listing of
// its worker shows it.
struct unit_progressed {
  const job_id job;
  const unit_progress progress{};
  bool operator==(const unit_progressed&) const = default;
};

// Deletes the record of a unit whose job is closed.
struct unit_deleted {
  const unit_id unit{};
  bool operator==(const unit_deleted&) const = default;
};

// Written by the leader only, fenced by its epoch, before it has the worker
// start anything.
struct worker_admitted {
  const worker_id worker;
  bool operator==(const worker_admitted&) const = default;
};

// Deletes the record of a worker on which nothing runs.
struct worker_released {
  const worker_id worker;
  bool operator==(const worker_released&) const = default;
};

// What the store keeps of a job.
enum class job_part { kSubmission, kCancellation, kPhase };

// Deletes one of the records of a job that was closed long ago. Written by the
// leader only, fenced by its epoch. All parts of a job are deleted by one
// append, the phase last: without it, the others would read as a job that is
// queued.
struct job_deleted {
  const job_id job;
  const job_part part = job_part::kSubmission;
  bool operator==(const job_deleted&) const = default;
};

// An entry and the address at which its peers reach it.
struct member_joined {
  const entry_id entry;
  // "ip:port" of the peer interface.
  const std::string address;
  // CPU share in thousandths of a core; entries with more are preferred as
  // leader.
  const std::uint32_t cpu_millis = 0;
  const std::uint64_t incarnation = 0;
  bool operator==(const member_joined&) const = default;
};

// The only entry that may send orders to workers; `epoch` is its fencing token.
struct leader_elected {
  const entry_id entry;
  const std::uint64_t epoch = 0;
  bool operator==(const leader_elected&) const = default;
};

using record = std::variant<job_submitted,
                            job_cancelled,
                            job_progressed,
                            member_joined,
                            leader_elected,
                            unit_progressed,
                            unit_deleted,
                            worker_admitted,
                            worker_released,
                            job_deleted>;

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_RECORD_H_
