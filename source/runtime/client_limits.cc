// One budget of memory: what connections hold, what the kernel has received for
// them, and what peers send, each have a share, and the rest is the process's
// own. What operators publish goes before the settings.

#include "runtime/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace parsleyhitch::runtime {

namespace {

constexpr std::uint64_t kBytesPerMb = 1048576;
// A process without clients and jobs.
constexpr std::uint64_t kProcessBytes = 22 * kBytesPerMb;
// Shares of the memory, and what they are at most of that beyond
// `kProcessBytes`.
constexpr std::uint64_t kHeldParts = 4;
constexpr std::uint64_t kHeldSpareParts = 2;
constexpr std::uint64_t kReceivedParts = 6;
constexpr std::uint64_t kReceivedSpareParts = 4;
constexpr std::uint64_t kPeerParts = 16;
constexpr std::uint64_t kPeerSpareParts = 8;
// The platform leaves them to files; with few descriptors, at most half.
constexpr std::uint64_t kFileDescriptors = 200;
// Half of what remains is for callers and an eighth for peers that connect. The
// rest is for the store, workers and connections to peers.
constexpr std::uint64_t kCallerParts = 2;
constexpr std::uint64_t kPeerDescriptorParts = 8;
// Connections that wait to be accepted; of callers, a part of those that may be
// open.
constexpr std::uint64_t kCallerBacklogParts = 4;
constexpr std::uint64_t kMinCallerBacklog = 16;
constexpr std::uint64_t kMaxCallerBacklog = 512;
constexpr std::uint32_t kOperatorBacklog = 16;
constexpr std::uint32_t kPeerBacklog = 100;
// Listeners of operators: for probes, and for scrapers.
constexpr std::uint64_t kOperatorListeners = 2;
// The kernel doubles what it is asked for, and takes no less than the minimum
// (socket(7)).
constexpr std::uint64_t kBufferFactor = 2;
constexpr std::uint64_t kMinBufferBytes = 2304;
constexpr std::uint64_t kMaxBufferBytes = 65536;
constexpr std::uint64_t kMaxPeerMessageBytes = 8388608;
constexpr model::duration kPeerHandshakeTimeout{5000};
// A request that is handled holds its body this often (intake/reduce.cc).
constexpr std::uint64_t kBodyCopies = 3;

template <typename Value>
Value StatedOr(Value stated, Value otherwise) {
  return stated == Value{} ? otherwise : stated;
}

std::uint64_t ShareOf(const settings::dispatch_settings& settings,
                      std::uint64_t parts,
                      std::uint64_t spare_parts) {
  const std::uint64_t memory_bytes = settings.memory_mb * kBytesPerMb;
  const std::uint64_t spare_bytes =
      memory_bytes - std::min(memory_bytes, kProcessBytes);
  return std::min(memory_bytes / parts, spare_bytes / spare_parts);
}

std::uint64_t ReceivedBytes(const settings::dispatch_settings& settings) {
  return ShareOf(settings, kReceivedParts, kReceivedSpareParts);
}

// Sockets of operators, and peers that wait.
std::uint64_t FixedSockets(const settings::dispatch_settings& settings) {
  return kOperatorListeners *
             (settings.max_operator_connections + kOperatorBacklog) +
         kPeerBacklog;
}

// Descriptors that sockets may use: those that the machine allows, or as many
// as leave each socket that clients open a receive buffer of the least size, if
// that is fewer.
std::uint64_t UsableDescriptors(const settings::dispatch_settings& settings,
                                std::uint64_t descriptors) {
  const std::uint64_t allowed =
      settings.max_descriptors == 0
          ? descriptors
          : std::min<std::uint64_t>(settings.max_descriptors, descriptors);
  const std::uint64_t left = allowed - std::min(allowed / 2, kFileDescriptors);
  const std::uint64_t buffers =
      ReceivedBytes(settings) / (kBufferFactor * kMinBufferBytes);
  const std::uint64_t fixed = FixedSockets(settings);
  const std::uint64_t for_clients = buffers - std::min(buffers, fixed);
  // Of so many descriptors, clients open a part for callers, one for callers
  // that wait and one for peers.
  constexpr std::uint64_t kParts =
      kCallerParts * kCallerBacklogParts * kPeerDescriptorParts;
  constexpr std::uint64_t kClientParts =
      kParts / kCallerParts + kParts / (kCallerParts * kCallerBacklogParts) +
      kParts / kPeerDescriptorParts;
  return std::min(left, for_clients * kParts / kClientParts);
}

// How many connections may be open or wait, and what the kernel may receive for
// each.
struct connection_limits {
  const std::uint32_t callers = 0;
  const std::uint32_t caller_backlog = 0;
  const std::uint32_t peers = 0;
  const std::uint32_t receive_buffer_bytes = 0;
};

connection_limits ConnectionLimits(const settings::dispatch_settings& settings,
                                   std::uint64_t descriptors) {
  const std::uint64_t usable = UsableDescriptors(settings, descriptors);
  const std::uint64_t derived = usable / kCallerParts;
  const std::uint64_t stated = settings.max_client_connections == 0
                                   ? derived
                                   : settings.max_client_connections;
  const std::uint64_t callers =
      std::max<std::uint64_t>(std::min(stated, derived), 1);
  const std::uint64_t backlog = std::clamp(
      callers / kCallerBacklogParts, kMinCallerBacklog, kMaxCallerBacklog);
  const std::uint64_t peers =
      std::max<std::uint64_t>(usable / kPeerDescriptorParts, 1);
  const std::uint64_t sockets =
      callers + backlog + peers + FixedSockets(settings);
  const std::uint64_t buffer_bytes =
      ReceivedBytes(settings) / sockets / kBufferFactor;
  return {.callers = static_cast<std::uint32_t>(callers),
          .caller_backlog = static_cast<std::uint32_t>(backlog),
          .peers = static_cast<std::uint32_t>(peers),
          .receive_buffer_bytes = static_cast<std::uint32_t>(
              std::clamp(buffer_bytes, kMinBufferBytes, kMaxBufferBytes))};
}

}  // namespace

std::uint64_t DescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

intake::limits ClientLimits(const settings::dispatch_settings& settings,
                            const work::client_limits& published,
                            std::uint64_t descriptors) {
  const std::uint64_t memory_bytes =
      ShareOf(settings, kHeldParts, kHeldSpareParts);
  return {
      .max_header_bytes = StatedOr<std::uint64_t>(published.max_header_bytes,
                                                  settings.max_header_bytes),
      // A larger body does not fit into the budget, whoever allows it.
      .max_body_bytes =
          std::min(StatedOr<std::uint64_t>(published.max_body_bytes,
                                           settings.max_body_bytes),
                   memory_bytes / kBodyCopies),
      .header_timeout =
          StatedOr(published.header_timeout, settings.header_timeout),
      .idle_timeout = StatedOr(published.idle_timeout, settings.idle_timeout),
      .memory_bytes = memory_bytes,
      .max_caller_connections = ConnectionLimits(settings, descriptors).callers,
      .max_operator_connections = settings.max_operator_connections,
      .max_connections_per_address = settings.max_connections_per_address};
}

listener_limits ListenerLimits(const settings::dispatch_settings& settings,
                               std::uint64_t descriptors) {
  const connection_limits limits = ConnectionLimits(settings, descriptors);
  return {.callers = {.receive_buffer_bytes = limits.receive_buffer_bytes,
                      .backlog = limits.caller_backlog},
          .operators = {.receive_buffer_bytes = limits.receive_buffer_bytes,
                        .backlog = kOperatorBacklog}};
}

peer_limits PeerLimits(const settings::dispatch_settings& settings,
                       std::uint64_t descriptors) {
  const connection_limits limits = ConnectionLimits(settings, descriptors);
  const std::uint64_t memory_bytes =
      ShareOf(settings, kPeerParts, kPeerSpareParts);
  return {.connections = {.max_body_bytes =
                              std::min(memory_bytes, kMaxPeerMessageBytes),
                          .header_timeout = kPeerHandshakeTimeout,
                          .memory_bytes = memory_bytes,
                          .max_peer_connections = limits.peers},
          .sockets = {.receive_buffer_bytes = limits.receive_buffer_bytes,
                      .backlog = kPeerBacklog},
          .inbox_bytes = memory_bytes};
}

}  // namespace parsleyhitch::runtime
