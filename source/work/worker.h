// Workers as the registry lists them, and what a worker says of its runs.

#ifndef PARSLEYHITCH_WORK_WORKER_H_
#define PARSLEYHITCH_WORK_WORKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "work/job.h"

namespace parsleyhitch::work {

struct worker_entry {
  const worker_id worker;
  const service_id service;
  // "ip:port" of the worker's interface.
  const std::string address;
  const rack_id rack;
  const std::vector<std::string> labels{};
  const resources capacity;
  const bool draining = false;
  // Names one life of the worker: it grows with each start.
  const std::uint64_t life = 0;

  bool operator==(const worker_entry&) const = default;
};

enum class run_end_kind {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  // Another member of the gang ended.
  kBroken,
  // The other members of the gang never came.
  kAlone,
};

struct running_task {
  const task_id task;
  const std::uint64_t attempt = 0;
  const std::string checkpoint;
  // Share of the work that is done.
  const std::uint32_t percent = 0;

  bool operator==(const running_task&) const = default;
};

struct ended_task {
  // Rises by one with each end of this life.
  const std::uint64_t number = 0;
  const task_id task;
  const std::uint64_t attempt = 0;
  const run_end_kind how = run_end_kind::kDone;
  const std::string checkpoint;

  bool operator==(const ended_task&) const = default;
};

// What a worker runs, and the ends that nobody has acknowledged yet.
struct worker_listing {
  const std::uint64_t life = 0;
  const std::vector<running_task> running{};
  const std::vector<ended_task> ended{};

  bool operator==(const worker_listing&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_WORKER_H_
