// Derives what clients and peers may use from the settings, the operators'
// published limits and the machine.

#ifndef PARSLEYHITCH_RUNTIME_CLIENT_LIMITS_H_
#define PARSLEYHITCH_RUNTIME_CLIENT_LIMITS_H_

#include <cstdint>

#include "intake/limits.h"
#include "runtime/socket_options.h"
#include "settings/dispatch_settings.h"
#include "work/catalog.h"

namespace parsleyhitch::runtime {

// The files and sockets that this process may open.
std::uint64_t DescriptorLimit();

// `descriptors` bounds what the settings state.
intake::limits ClientLimits(const settings::dispatch_settings& settings,
                            const work::client_limits& published,
                            std::uint64_t descriptors);

// What follows from the settings when the process starts. Kernel buffers and
// queues can't be changed for connections that are open.
struct listener_limits {
  const socket_options callers;
  // Of probes and of scrapers.
  const socket_options operators;

  bool operator==(const listener_limits&) const = default;
};

listener_limits ListenerLimits(const settings::dispatch_settings& settings,
                               std::uint64_t descriptors);

// The connections of other entries.
struct peer_limits {
  const intake::limits connections;
  const socket_options sockets;
  // Messages that were received and not handled.
  const std::uint64_t inbox_bytes = 8388608;

  bool operator==(const peer_limits&) const = default;
};

peer_limits PeerLimits(const settings::dispatch_settings& settings,
                       std::uint64_t descriptors);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_CLIENT_LIMITS_H_
