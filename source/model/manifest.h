// The operators' configuration: workspaces with their guaranteed shapes, and
// the services that run on the capacity.

#ifndef PARSLEYHITCH_MODEL_MANIFEST_H_
#define PARSLEYHITCH_MODEL_MANIFEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "model/fleet.h"
#include "model/identifier.h"
#include "model/time.h"

namespace parsleyhitch::model {

// How a request is ranked at a crest. The lowest is shed first.
enum class importance { kDeferrable, kBatch, kUrgent };

struct guarantee {
  const std::string name;
  const shape capacity;

  bool operator==(const guarantee&) const = default;
};

struct workspace {
  const workspace_id id;
  // The workspace whose quota also binds this one; empty for none. Acyclic.
  const workspace_id parent;
  // Accelerators that all running jobs may hold together; 0 for no bound.
  const std::uint32_t quota_accelerators = 0;
  // Requests admitted side by side at one entry; 0 for no bound.
  const std::uint32_t max_requests = 0;
  const std::vector<guarantee> guarantees{};

  bool operator==(const workspace&) const = default;
};

struct service {
  const service_id id;
  const workspace_id owner;
  const importance rank = importance::kBatch;
  // Deadline of a request that names none.
  const duration default_deadline{0};

  bool operator==(const service&) const = default;
};

// A service-level objective: `target_permille` of requests of the service are
// answered whole within `within`.
struct objective {
  const service_id service_name;
  const std::uint32_t target_permille = 0;
  const duration within{0};

  bool operator==(const objective&) const = default;
};

// One version of the configuration.
// Invariant: `version` > `base`; `base` is the version its author had read.
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
