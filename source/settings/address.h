// Addresses in settings.

#ifndef PARSLEYHITCH_SETTINGS_ADDRESS_H_
#define PARSLEYHITCH_SETTINGS_ADDRESS_H_

#include <string>

#include "model/finding.h"

namespace parsleyhitch::settings {

// Adds a finding unless `address` is an IP address and a port.
void CheckAddress(model::findings& faults,
                  const std::string& place,
                  const std::string& address);

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_ADDRESS_H_
