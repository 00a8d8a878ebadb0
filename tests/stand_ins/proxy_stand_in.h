// A proxy on loopback that harms connections: it delays, resets or swallows
// what passes, in both directions or in one.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_PROXY_STAND_IN_H_
#define PARSLEYHITCH_TESTS_STAND_INS_PROXY_STAND_IN_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "wire/json_codec.h"

namespace parsleyhitch::stand_ins {

enum class link_mode {
  kWell,
  // What is sent arrives later.
  kDelayed,
  // Connections are reset.
  kReset,
  // Connections stay open and nothing passes.
  kSilent,
  // What the callee answers is swallowed.
  kOneWay,
};
BOOST_DESCRIBE_ENUM(link_mode, kWell, kDelayed, kReset, kSilent, kOneWay)

struct link_control {
  const std::uint32_t link = 0;
  const link_mode mode = link_mode::kWell;
  const std::int64_t delay_ms = 0;
};
PARSLEYHITCH_DESCRIBE(link_control, link, mode, delay_ms)

// Links that are not named are well from now on.
struct proxy_control {
  const std::vector<link_control> links{};
};
PARSLEYHITCH_DESCRIBE(proxy_control, links)

// Serves until the loop ends. `addresses`: that of the control calls (POST
// /control), then for each link where it listens and where it leads.
void RunProxy(asio::io_context& io, const std::vector<std::string>& addresses);

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_PROXY_STAND_IN_H_
