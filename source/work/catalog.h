// The operators' configuration: job queues, the services whose workers run the
// tasks, and the workspaces that own the jobs.

#ifndef PARSLEYHITCH_WORK_CATALOG_H_
#define PARSLEYHITCH_WORK_CATALOG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "work/job.h"

namespace parsleyhitch::work {

struct queue {
  const queue_id id;
  const std::string host;
  // Starts and ends with "/".
  const std::string path_prefix;
  const service_id service;
  const std::uint32_t priority = 0;
  const std::uint32_t max_attempts = 1;
  const std::uint32_t stretch_permille = 1000;
  const duration target_latency{0};
  // Upper bound on the duration of one call.
  const duration call_timeout{0};
  // Callers need no API key.
  const bool allows_anonymous = false;

  bool operator==(const queue&) const = default;
};

// What a catalog says of a call that it allows.
struct call_route {
  const queue destination;
  // The workspace that has the call's key; empty for a call without one.
  const workspace_id owner;

  bool operator==(const call_route&) const = default;
};

struct worker_service {
  const service_id id;
  // The workers refuse tasks that would exceed their capacity.
  const bool rejects_overload = false;
  // The machines are powered off.
  const bool spare = false;

  bool operator==(const worker_service&) const = default;
};

struct workspace {
  const workspace_id id;
  // API keys of the workspace's callers.
  const std::vector<std::string> keys{};
  // Accelerators that jobs of this workspace with priority 0 can claim at any
  // time.
  const std::uint32_t guaranteed_accelerators = 0;

  bool operator==(const workspace&) const = default;
};

// What operators let clients send to an entry; 0 where they state nothing.
struct client_limits {
  const std::uint64_t max_header_bytes = 0;
  const std::uint64_t max_body_bytes = 0;
  const duration header_timeout{0};
  const duration idle_timeout{0};

  bool operator==(const client_limits&) const = default;
};

struct catalog {
  const std::uint64_t version = 0;
  const std::vector<queue> queues{};
  const std::vector<worker_service> services{};
  const std::vector<workspace> workspaces{};
  const client_limits limits{};

  bool operator==(const catalog&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_CATALOG_H_
