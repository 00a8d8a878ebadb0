// Network addresses as text.

#ifndef PARSLEYHITCH_WIRE_ADDRESS_H_
#define PARSLEYHITCH_WIRE_ADDRESS_H_

#include <string>

namespace parsleyhitch::wire {

// True for a numeric IP address and a port above 0, "ip:port". Host names are
// not resolved.
bool IsIpAndPort(const std::string& address);

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_ADDRESS_H_
