// Addresses are numbers; names are never looked up.

#include "settings/address.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <cstdint>

namespace parsleyhitch::settings {

namespace {

bool IsIpAndPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return false;
  asio::error_code error;
  (void)asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, parse_error] = std::from_chars(first, last, port);
  return !error && parse_error == std::errc() && end == last && port != 0;
}

}  // namespace

void CheckAddress(model::findings& faults,
                  const std::string& place,
                  const std::string& address) {
  if (!IsIpAndPort(address))
    faults.push_back(
        {.place = place, .message = "must be an IP address and a port"});
}

}  // namespace parsleyhitch::settings
