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

void CheckPeers(model::findings& findings, const settings& settings) {
  std::set<model::entry_id> names{settings.entry};
  for (std::size_t i = 0; i < settings.peers.size(); ++i) {
    const std::string place = "/peers/" + std::to_string(i);
    const peer_address& peer = settings.peers[i];
    if (!names.insert(peer.entry).second)
      findings.push_back({.place = place + "/entry",
                          .message = "is the name of another entry"});
    CheckAddress(findings, place + "/address", peer.address);
  }
}

void CheckLimits(model::findings& findings, const model::limits& limits) {
  if (limits.sync_timeout >= limits.sync_interval) {
    findings.push_back({.place = "/limits/sync_timeout_ms",
                        .message = "must be below sync_interval_ms"});
  }
  if (limits.lease < 2 * limits.sync_interval) {
    findings.push_back({.place = "/limits/lease_ms",
                        .message = "must be at least twice sync_interval_ms"});
  }
  if (limits.peer_timeout < 2 * limits.heartbeat_interval) {
    findings.push_back(
        {.place = "/limits/peer_timeout_ms",
         .message = "must be at least twice heartbeat_interval_ms"});
  }
  if (limits.read_timeout <= limits.read_wait) {
    findings.push_back({.place = "/limits/read_timeout_ms",
                        .message = "must be above read_wait_ms"});
  }
  if (limits.max_batch_records == 0)
    findings.push_back(
        {.place = "/limits/max_batch_records", .message = "must be above 0"});
  if (limits.checkpoint_chunk_parts == 0) {
    findings.push_back({.place = "/limits/checkpoint_chunk_parts",
                        .message = "must be above 0"});
  }
}

void CheckSettings(model::findings& findings, const settings& settings) {
  if (settings.entry.empty())
    findings.push_back({.place = "/entry", .message = "must not be empty"});
  if (settings.failure_domain.empty())
    findings.push_back(
        {.place = "/failure_domain", .message = "must not be empty"});
  CheckAddress(findings, "/http_listen", settings.http_listen);
  CheckAddress(findings, "/peer_listen", settings.peer_listen);
  CheckAddress(findings, "/log_address", settings.log_address);
  CheckAddress(findings, "/vm_list_address", settings.vm_list_address);
  CheckPeers(findings, settings);
  CheckLimits(findings, settings.limits);
  if (settings.max_body_bytes == 0 || settings.max_body_bytes > kMaxBodyBytes)
    findings.push_back(
        {.place = "/max_body_bytes", .message = "must be from 1 to 4194304"});
}

}  // namespace

wire::result<settings> ParseSettings(const std::string& text) {
  const yaml_source source = ParseYaml(text);
  model::findings findings = source.findings;
  if (!findings.empty())
    return boost::leaf::new_error(std::move(findings));
  settings parsed =
      wire::detail::DecodeJson<settings>(source.content, "", findings);
  CheckSettings(findings, parsed);
  if (!findings.empty())
    return boost::leaf::new_error(LocateFindings(source, findings));
  return parsed;
}

bool LooksLikeSettings(const std::string& text) {
  const yaml_source source = ParseYaml(text);
  return source.content.is_object() && source.content.contains("entry");
}

}  // namespace parsleyhitch::settings
