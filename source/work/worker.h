// Workers as listed in the registry, and the tasks that a worker reports.

#ifndef PARSLEYHITCH_WORK_WORKER_H_
#define PARSLEYHITCH_WORK_WORKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "work/job.h"

namespace parsleyhitch::work {

struct registered_worker {
  const worker_id worker;
  const service_id service;
  // "ip:port" of the worker's interface.
  const std::string address;
  const rack_id rack;
  const std::vector<std::string> labels{};
  const resources capacity;
  const bool draining = false;
  // While draining: the least time until the worker leaves, with all that runs
  // on it. Zero when it gave none.
  const duration leaves_in{0};
  // Identifies one run of the worker process; increases with each restart.
  const std::uint64_t life = 0;
  const failure_domain_id failure_domain;

  bool operator==(const registered_worker&) const = default;
};

enum class run_end_kind {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  // Another task of the gang ended.
  kGangMemberEnded,
  // The other tasks of the gang did not start in time.
  kGangIncomplete,
};

struct running_task {
  const task_id task{};
  const std::uint64_t attempt = 0;
  const std::string checkpoint;
  // Completed share of the work.
  const std::uint32_t percent = 0;

  bool operator==(const running_task&) const = default;
};

struct ended_task {
  // Increases by one with each task that ends during one `life`.
  const std::uint64_t number = 0;
  const task_id task{};
  const std::uint64_t attempt = 0;
  const run_end_kind how = run_end_kind::kDone;
  const std::string checkpoint;

  bool operator==(const ended_task&) const = default;
};

// Tasks running on a worker, and ended tasks that are not acknowledged yet.
struct worker_listing {
  const std::uint64_t life = 0;
  const std::vector<running_task> running{};
  const std::vector<ended_task> ended{};

  bool operator==(const worker_listing&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_WORKER_H_
