// Derives what clients may use from the settings, the operators' published
// limits and the machine.

#ifndef PARSLEYHITCH_RUNTIME_CLIENT_LIMITS_H_
#define PARSLEYHITCH_RUNTIME_CLIENT_LIMITS_H_

#include <cstdint>

#include "intake/limits.h"
#include "settings/dispatch_settings.h"
#include "work/catalog.h"

namespace parsleyhitch::runtime {

// The files and sockets that this process may open.
std::uint64_t DescriptorLimit();

// `descriptors` bounds what the settings state.
intake::limits ClientLimits(const settings::dispatch_settings& settings,
                            const work::client_limits& published,
                            std::uint64_t descriptors);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_CLIENT_LIMITS_H_
