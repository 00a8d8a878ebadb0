// Parses settings from YAML and validates them.

#include "settings/settings_file.h"

#include <set>
#include <utility>

#include "settings/address.h"
#include "settings/yaml_source.h"
#include "wire/json_codec.h"

namespace parsleyhitch::settings {

BOOST_DESCRIBE_ENUM(policy, kReserving, kBaseline)
PARSLEYHITCH_DESCRIBE(peer_address, entry, address)
PARSLEYHITCH_DESCRIBE(settings,
                      entry,
                      failure_domain,
                      http_listen,
                      peer_listen,
                      peers,
                      log_address,
                      vm_list_address,
                      placement,
                      max_body_bytes,
                      limits)

namespace {

constexpr std::uint32_t kMaxBodyBytes = 4194304;

void CheckPeers(model::findings& faults, const settings& settings) {
  std::set<model::entry_id> names{settings.entry};
  for (std::size_t i = 0; i < settings.peers.size(); ++i) {
    const std::string place = "/peers/" + std::to_string(i);
    const peer_address& peer = settings.peers[i];
    if (!names.insert(peer.entry).second)
      faults.push_back({.place = place + "/entry",
                        .message = "is the name of another entry"});
    CheckAddress(faults, place + "/address", peer.address);
  }
}

void CheckLimits(model::findings& faults, const model::limits& limits) {
  if (limits.sync_timeout >= limits.sync_interval) {
    faults.push_back({.place = "/limits/sync_timeout_ms",
                      .message = "must be below sync_interval_ms"});
  }
  if (limits.lease < 2 * limits.sync_interval) {
    faults.push_back({.place = "/limits/lease_ms",
                      .message = "must be at least twice sync_interval_ms"});
  }
  if (limits.peer_timeout < 2 * limits.heartbeat_interval) {
    faults.push_back(
        {.place = "/limits/peer_timeout_ms",
         .message = "must be at least twice heartbeat_interval_ms"});
  }
  if (limits.read_timeout <= limits.read_wait) {
    faults.push_back({.place = "/limits/read_timeout_ms",
                      .message = "must be above read_wait_ms"});
  }
  if (limits.max_batch_records == 0)
    faults.push_back(
        {.place = "/limits/max_batch_records", .message = "must be above 0"});
  if (limits.checkpoint_chunk_parts == 0) {
    faults.push_back({.place = "/limits/checkpoint_chunk_parts",
                      .message = "must be above 0"});
  }
}

void CheckSettings(model::findings& faults, const settings& settings) {
  if (settings.entry.empty())
    faults.push_back({.place = "/entry", .message = "must not be empty"});
  if (settings.failure_domain.empty())
    faults.push_back(
        {.place = "/failure_domain", .message = "must not be empty"});
  CheckAddress(faults, "/http_listen", settings.http_listen);
  CheckAddress(faults, "/peer_listen", settings.peer_listen);
  CheckAddress(faults, "/log_address", settings.log_address);
  CheckAddress(faults, "/vm_list_address", settings.vm_list_address);
  CheckPeers(faults, settings);
  CheckLimits(faults, settings.limits);
  if (settings.max_body_bytes == 0 || settings.max_body_bytes > kMaxBodyBytes)
    faults.push_back(
        {.place = "/max_body_bytes", .message = "must be from 1 to 4194304"});
}

}  // namespace

wire::result<settings> ParseSettings(const std::string& text) {
  const yaml_source source = ParseYaml(text);
  model::findings faults = source.faults;
  if (!faults.empty())
    return boost::leaf::new_error(std::move(faults));
  settings parsed =
      wire::detail::DecodeJson<settings>(source.content, "", faults);
  CheckSettings(faults, parsed);
  if (!faults.empty())
    return boost::leaf::new_error(LocateFindings(source, faults));
  return parsed;
}

bool LooksLikeSettings(const std::string& text) {
  const yaml_source source = ParseYaml(text);
  return source.content.is_object() && source.content.contains("entry");
}

}  // namespace parsleyhitch::settings
