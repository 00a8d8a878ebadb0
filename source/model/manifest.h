// The operators' configuration: workspaces with their quotas and guaranteed
// shapes, services, and service-level objectives.

#ifndef PARSLEYHITCH_MODEL_MANIFEST_H_
#define PARSLEYHITCH_MODEL_MANIFEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "model/fleet.h"
#include "model/identifier.h"
#include "model/time.h"

namespace parsleyhitch::model {

// A service's rank in load shedding. Requests of the lowest rank, kDeferrable,
// are shed first.
enum class importance { kDeferrable, kBatch, kUrgent };

struct guarantee {
  const std::string name;
  const shape capacity;

  bool operator==(const guarantee&) const = default;
};

struct workspace {
  const workspace_id id;
  // The workspace whose quota limits this one too; empty for none. Parents form
  // no cycles.
  const workspace_id parent;
  // Accelerators that the workspace's placed jobs may hold together; 0 for no
  // limit.
  const std::uint32_t quota_accelerators = 0;
  // Concurrent requests admitted by one entry; 0 for no limit.
  const std::uint32_t max_requests = 0;
  const std::vector<guarantee> guarantees{};

  bool operator==(const workspace&) const = default;
};

struct service {
  const service_id id;
  const workspace_id owner;
  const importance rank = importance::kBatch;
  // Applies to requests without a deadline of their own.
  const duration default_deadline{0};

  bool operator==(const service&) const = default;
};

// A service-level objective: `target_permille` of the service's requests get a
// complete answer within `within`.
struct objective {
  const service_id service_name;
  const std::uint32_t target_permille = 0;
  const duration within{0};

  bool operator==(const objective&) const = default;
};

// One version of the configuration.
// Invariant: `version` > `base`. `base` is the version that the author edited.
struct manifest {
  const std::uint64_t version = 0;
  const std::uint64_t base = 0;
  const std::vector<workspace> workspaces{};
  const std::vector<service> services{};
  const std::vector<objective> objectives{};

  bool operator==(const manifest&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_MANIFEST_H_
