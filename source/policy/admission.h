// Refusal of jobs that can't start in time by a wide margin, as the work that
// waits before them takes longer than callers have use for the result.

#ifndef PARSLEYHITCH_POLICY_ADMISSION_H_
#define PARSLEYHITCH_POLICY_ADMISSION_H_

#include <cstdint>
#include <map>
#include <vector>

#include "policy/fair_share.h"
#include "work/job.h"
#include "work/peer_message.h"

namespace parsleyhitch::policy {

// Jobs of this priority and all less important ones are served alike.
inline constexpr std::uint32_t kLeastPriority = 2;

// A unit that waits or runs.
struct queued_work {
  share_account account;
  std::uint32_t priority = 0;
  // Of all members together.
  work::resources need;
  // What is left of its run time, by the estimate.
  duration run_time{0};
  bool waiting = false;

  bool operator==(const queued_work&) const = default;
};

struct service_capacity {
  work::resources all;
  // Free on all workers together, and the most of each resource that is free on
  // any one of them.
  work::resources free;
  work::resources largest_free;

  bool operator==(const service_capacity&) const = default;
};

// How long further jobs of each workspace would wait at least, for workspaces
// whose jobs wait. More important work goes first; within a priority,
// workspaces have equal parts of the capacity until one has no more work. Waits
// of less than a second are left out, and of many only the longest are kept.
std::vector<work::expected_wait> ExpectedWaits(
    const std::vector<queued_work>& queued,
    const std::map<work::service_id, service_capacity>& services);

struct admission {
  bool accepted = true;
  // For a refused job: when a retry is expected to be accepted.
  duration retry_after{0};

  bool operator==(const admission&) const = default;
};

// Refuses a job only if it would end after three times its objective even if
// the work before it took half of the estimated time, and if none of its tasks
// may fit the free capacity. Accepts when no wait is known.
admission Admit(const work::submission& job,
                const std::vector<work::expected_wait>& waits);

}  // namespace parsleyhitch::policy

#endif  // PARSLEYHITCH_POLICY_ADMISSION_H_
