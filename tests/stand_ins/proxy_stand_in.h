// A TCP proxy on loopback that injects link faults: it delays or drops data, or
// resets connections.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_PROXY_STAND_IN_H_
#define PARSLEYHITCH_TESTS_STAND_INS_PROXY_STAND_IN_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "wire/json_codec.h"

namespace parsleyhitch::stand_ins {

enum class link_mode {
  // Data is forwarded without a fault.
  kWell,
  // Data is delayed in both directions.
  kDelayed,
  // Connections are reset when the mode is set or data arrives.
  kReset,
  // Connections stay open, but data is dropped in both directions.
  kSilent,
  // Only data from the callee to the caller is dropped.
  kOneWay,
};
BOOST_DESCRIBE_ENUM(link_mode, kWell, kDelayed, kReset, kSilent, kOneWay)

struct link_control {
  const std::uint32_t link = 0;
  const link_mode mode = link_mode::kWell;
  const std::int64_t delay_ms = 0;
};
PARSLEYHITCH_DESCRIBE(link_control, link, mode, delay_ms)

// Replaces all earlier faults: links that are not named are set to kWell.
struct proxy_control {
  const std::vector<link_control> links{};
};
PARSLEYHITCH_DESCRIBE(proxy_control, links)

// Serves until the event loop stops. `addresses` contains the address of the
// control calls (POST /control), and then for each link its listening address
// and its target.
void RunProxy(asio::io_context& io, const std::vector<std::string>& addresses);

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_PROXY_STAND_IN_H_
