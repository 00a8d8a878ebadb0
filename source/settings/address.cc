// Accepts only numeric addresses; host names are not resolved.

#include "settings/address.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <cstdint>

namespace parsleyhitch::settings {

namespace {

bool IsIpAndPort(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return false;
  asio::error_code error;
  (void)asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* first = address.data() + colon + 1;
  const char* last = address.data() + address.size();
  const auto [end, parse_error] = std::from_chars(first, last, port);
  return !error && parse_error == std::errc() && end == last && port != 0;
}

}  // namespace

void CheckAddress(model::findings& findings,
                  const std::string& place,
                  const std::string& address) {
  if (!IsIpAndPort(address))
    findings.push_back(
        {.place = place, .message = "must be an IP address and a port"});
}

}  // namespace parsleyhitch::settings
