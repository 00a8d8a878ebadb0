// What clients may use of a process.

#ifndef PARSLEYHITCH_INTAKE_LIMITS_H_
#define PARSLEYHITCH_INTAKE_LIMITS_H_

#include <cstdint>

#include "model/time.h"

namespace parsleyhitch::intake {

using model::duration;
using model::timestamp;

// What a process listens for. Each has connections of its own: no crowd at one
// takes those of another.
enum class listener : std::uint8_t { kCallers, kProbes, kScrapers, kPeers };

struct limits {
  // A head is refused when it exceeds this by `kHeadAllowance`.
  const std::uint64_t max_header_bytes = 81920;
  const std::uint64_t max_body_bytes = 262144;
  // The longest time from the first byte of a head to its last.
  const duration header_timeout{60000};
  // The longest time without progress between requests and within a body.
  const duration idle_timeout{60000};
  // Bytes that all connections together may hold.
  const std::uint64_t memory_bytes = 31457280;
  const std::uint32_t max_caller_connections = 1400;
  // Of probes, and as many of scrapers.
  const std::uint32_t max_operator_connections = 64;
  const std::uint32_t max_peer_connections = 256;
  // 0 for no limit: a load balancer forwards many callers from few addresses.
  const std::uint32_t max_connections_per_address = 0;

  bool operator==(const limits&) const = default;
};

// Limits on heads may count the fields only. The allowance covers the request
// line and the separators.
constexpr std::uint64_t kHeadAllowance = 4096;

// What an open connection holds without a request: RESTinio's connection with
// its 4 KB buffer, and this process's own state.
constexpr std::uint64_t kConnectionBytes = 8192;

}  // namespace parsleyhitch::intake

#endif  // PARSLEYHITCH_INTAKE_LIMITS_H_
