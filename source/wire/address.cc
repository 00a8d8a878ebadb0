// Parses with the functions of Asio and of the standard library.

#include "wire/address.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <cstdint>

namespace parsleyhitch::wire {

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

}  // namespace parsleyhitch::wire
