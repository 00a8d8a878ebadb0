// The platform's workers, and the shapes in which jobs allocate their
// accelerators.

#ifndef PARSLEYHITCH_MODEL_FLEET_H_
#define PARSLEYHITCH_MODEL_FLEET_H_

#include <cstdint>
#include <string>

#include "model/identifier.h"

namespace parsleyhitch::model {

// Placement constraint on the members of a gang: anywhere, all in one failure
// domain, or all in one rack.
enum class adjacency { kAny, kFailureDomain, kRack };

// The capacity that a gang needs: `gang_size` members on as many distinct
// workers, each with `accelerators` accelerators.
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
  // Number of requests that the worker serves concurrently.
  const std::uint32_t slots = 0;

  bool operator==(const worker_spec&) const = default;
};

// One item of the platform's VM list, which lags behind the VMs' actual state.
struct listed_vm {
  const worker_spec spec;
  const bool leaving = false;

  bool operator==(const listed_vm&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_FLEET_H_
