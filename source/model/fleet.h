// The platform's machines, and the shapes of capacity taken from them.

#ifndef PARSLEYHITCH_MODEL_FLEET_H_
#define PARSLEYHITCH_MODEL_FLEET_H_

#include <cstdint>
#include <string>

#include "model/identifier.h"

namespace parsleyhitch::model {

// How near to one another the members of a gang must be.
enum class adjacency { kAny, kFailureDomain, kRack };

// Capacity for a gang: `gang_size` members on `gang_size` distinct workers,
// each with `accelerators` accelerators.
struct shape {
  const std::uint32_t gang_size = 0;
  const std::uint32_t accelerators = 0;
  const adjacency nearness = adjacency::kAny;

  bool operator==(const shape&) const = default;
};

// One worker as the platform's VM list describes it.
struct worker_spec {
  const worker_id worker;
  // "ip:port" of the worker's HTTP interface.
  const std::string address;
  const failure_domain_id failure_domain;
  const rack_id rack;
  const std::uint32_t accelerators = 0;
  // Requests that the worker answers side by side.
  const std::uint32_t slots = 0;

  bool operator==(const worker_spec&) const = default;
};

// One line of the platform's lagging list.
struct listed_vm {
  const worker_spec spec;
  const bool leaving = false;

  bool operator==(const listed_vm&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_FLEET_H_
