// Accepts only numeric addresses.

#include "settings/address.h"

#include "wire/address.h"

namespace parsleyhitch::settings {

void CheckAddress(model::findings& findings,
                  const std::string& place,
                  const std::string& address) {
  if (!wire::IsIpAndPort(address))
    findings.push_back(
        {.place = place, .message = "must be an IP address and a port"});
}

}  // namespace parsleyhitch::settings
