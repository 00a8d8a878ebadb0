// The view of a job that is returned to callers.

#ifndef PARSLEYHITCH_SCHEDULER_JOB_VIEW_H_
#define PARSLEYHITCH_SCHEDULER_JOB_VIEW_H_

#include "model/ledger.h"
#include "model/message.h"

namespace parsleyhitch::scheduler {

// The job must be in the ledger.
inline model::job_view ViewOf(const model::ledger& ledger,
                              const model::job_id& job) {
  const model::job_status& status = *ledger.jobs.Find(job);
  const model::placement* placed = ledger.placements.Find(job);
  return {.job = job,
          .phase = status.phase,
          .reason = status.reason,
          .failed_attempts = status.failed_attempts,
          .members = placed == nullptr ? std::vector<model::member>()
                                       : placed->members};
}

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_JOB_VIEW_H_
