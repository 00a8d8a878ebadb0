// Validation of network addresses in settings.

#ifndef PARSLEYHITCH_SETTINGS_ADDRESS_H_
#define PARSLEYHITCH_SETTINGS_ADDRESS_H_

#include <string>

#include "model/finding.h"

namespace parsleyhitch::settings {

// Adds a finding at `place` unless `address` is "ip:port" with a port above 0.
void CheckAddress(model::findings& findings,
                  const std::string& place,
                  const std::string& address);

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_ADDRESS_H_
