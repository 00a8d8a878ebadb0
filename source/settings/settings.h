// Settings of an entry: its identity and addresses, its peers, the platform's
// services and the reducer's limits. Every key of the settings file is a member
// here or in model::limits.

#ifndef PARSLEYHITCH_SETTINGS_SETTINGS_H_
#define PARSLEYHITCH_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "model/identifier.h"
#include "model/limits.h"

namespace parsleyhitch::settings {

// The placement policy: one that reserves capacity for guarantees, or the
// baseline that it is compared with.
enum class policy { kReserving, kBaseline };

struct peer_address {
  const model::entry_id entry;
  // "ip:port" of the peer's listener for other entries.
  const std::string address;
  bool operator==(const peer_address&) const = default;
};

struct settings {
  const model::entry_id entry;
  const model::failure_domain_id failure_domain;
  // Listening addresses, "ip:port", for callers and operators and for other
  // entries.
  const std::string http_listen;
  const std::string peer_listen;
  const std::vector<peer_address> peers{};
  // "ip:port" of the platform's log and VM list.
  const std::string log_address;
  const std::string vm_list_address;
  const policy placement = policy::kReserving;
  const std::uint32_t max_body_bytes = 65536;
  const model::limits limits;

  bool operator==(const settings&) const = default;
};

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_SETTINGS_H_
