// Parses the settings from YAML and validates them.

#include "settings/dispatch_settings.h"

#include <algorithm>
#include <utility>

#include "settings/address.h"
#include "settings/yaml_source.h"
#include "wire/json_codec.h"
#include "wire/work_describe.h"

namespace parsleyhitch::settings {

PARSLEYHITCH_DESCRIBE(dispatch_settings,
                      entry,
                      failure_domain,
                      callers_listen,
                      probes_listen,
                      peers_listen,
                      metrics_listen,
                      store_address,
                      cpu_share,
                      shutdown_grace_s,
                      longest_lease,
                      task_stop,
                      max_body_bytes,
                      limits,
                      max_record_bytes,
                      max_append_bytes,
                      job_state_kept_s,
                      checkpoint_interval_s,
                      checkpoint_restore,
                      remote_slowdown,
                      memory_mb,
                      max_descriptors,
                      max_header_bytes,
                      header_timeout,
                      idle_timeout,
                      max_client_connections,
                      max_operator_connections,
                      max_connections_per_address,
                      reclaim_bound,
                      policies)

namespace {

constexpr std::uint32_t kMaxBodyBytes = 4194304;

void Require(model::findings& findings,
             bool condition,
             const char* place,
             const char* message) {
  if (!condition)
    findings.push_back({.place = place, .message = message});
}

// Submissions are dropped that could not be stored within half of the time, so
// it must be well above the time that callers wait.
constexpr double kMinStateKeptS = 10;

// From the end of a lease until a task that its worker then stops counts as
// dead, beyond the time that the stop takes.
constexpr model::duration kLapseReserve{300};

// Adds the limits that follow from bounds of the platform, unless they are set.
// Bounds that can't be read are left to the decoder.
void AddDerivedLimits(nlohmann::ordered_json& content) {
  if (!content.is_object())
    return;
  const dispatch_settings defaults{};
  const auto bound = [&](const char* key, model::duration otherwise) {
    const auto found = content.find(key);
    return found != content.end() && found->is_number_integer()
               ? model::duration(found->get<std::int64_t>())
               : otherwise;
  };
  const model::duration task_stop = bound("task_stop_ms", defaults.task_stop);
  const model::duration longest_lease =
      bound("longest_lease_ms", defaults.longest_lease);
  nlohmann::ordered_json& limits = content["limits"];
  if (limits.is_null())
    limits = nlohmann::ordered_json::object();
  if (!limits.is_object())
    return;
  const auto add = [&](const char* key, model::duration value) {
    if (!limits.contains(key))
      limits[key] = value.count();
  };
  add("lapse_margin_ms", task_stop + kLapseReserve);
  add("lease_ms", std::min(defaults.limits.lease, longest_lease));
}

constexpr double kMaxRemoteSlowdown = 1000;

// Faster than any core starts tasks.
constexpr std::uint32_t kMaxStartRate = 10000;

void CheckLimits(model::findings& findings, const dispatch_settings& settings) {
  const work::limits& limits = settings.limits;
  Require(findings, limits.read_timeout > limits.read_wait,
          "/limits/read_timeout_ms", "must be above read_wait_ms");
  Require(findings, limits.lease <= settings.longest_lease, "/limits/lease_ms",
          "must be at most longest_lease_ms");
  Require(findings, limits.lease > limits.hold_wait + 2 * limits.order_timeout,
          "/limits/lease_ms",
          "must be above hold_wait_ms and twice order_timeout_ms");
  Require(findings, limits.lapse_margin > settings.task_stop,
          "/limits/lapse_margin_ms", "must be above task_stop_ms");
  Require(findings, limits.leader_silent > 2 * limits.heartbeat_interval,
          "/limits/leader_silent_ms",
          "must be above twice heartbeat_interval_ms");
  Require(findings, limits.leader_retry_max < limits.store_silent,
          "/limits/leader_retry_max_ms", "must be below store_silent_ms");
  Require(findings, limits.tick > model::duration(0), "/limits/tick_ms",
          "must be above 0");
  Require(findings, limits.max_batch_records > 0, "/limits/max_batch_records",
          "must be above 0");
  Require(findings, limits.plan_rate > 0, "/limits/plan_rate",
          "must be above 0");
  Require(findings, limits.plan_scan_rate > 0, "/limits/plan_scan_rate",
          "must be above 0");
  Require(findings, limits.workers_per_core > 0, "/limits/workers_per_core",
          "must be above 0");
  Require(findings, limits.start_rate > 0 && limits.start_rate <= kMaxStartRate,
          "/limits/start_rate", "must be from 1 to 10000");
}

void CheckSettings(model::findings& findings,
                   const dispatch_settings& settings) {
  Require(findings, !settings.entry.empty(), "/entry", "must not be empty");
  Require(findings, !settings.failure_domain.empty(), "/failure_domain",
          "must not be empty");
  CheckAddress(findings, "/callers_listen", settings.callers_listen);
  CheckAddress(findings, "/probes_listen", settings.probes_listen);
  CheckAddress(findings, "/peers_listen", settings.peers_listen);
  CheckAddress(findings, "/metrics_listen", settings.metrics_listen);
  CheckAddress(findings, "/store_address", settings.store_address);
  Require(findings, settings.cpu_share > 0, "/cpu_share", "must be above 0");
  Require(findings, settings.job_state_kept_s >= kMinStateKeptS,
          "/job_state_kept_s", "must be at least 10");
  Require(findings, settings.checkpoint_interval_s > 0,
          "/checkpoint_interval_s", "must be above 0");
  Require(findings,
          settings.remote_slowdown >= 1 &&
              settings.remote_slowdown <= kMaxRemoteSlowdown,
          "/remote_slowdown", "must be from 1 to 1000");
  Require(findings, settings.shutdown_grace_s > 0, "/shutdown_grace_s",
          "must be above 0");
  Require(
      findings,
      settings.max_body_bytes > 0 && settings.max_body_bytes <= kMaxBodyBytes,
      "/max_body_bytes", "must be from 1 to 4194304");
  Require(findings, settings.max_record_bytes > 0, "/max_record_bytes",
          "must be above 0");
  Require(findings, settings.max_append_bytes >= settings.max_record_bytes,
          "/max_append_bytes", "must be at least max_record_bytes");
  CheckLimits(findings, settings);
}

// An entry needs about 20 MB before it serves anyone.
constexpr std::uint32_t kMinMemoryMb = 32;
constexpr std::uint32_t kMinDescriptors = 64;
constexpr std::uint32_t kMinHeaderBytes = 1024;
constexpr std::uint32_t kMaxHeaderBytes = 1048576;

void CheckClientLimits(model::findings& findings,
                       const dispatch_settings& settings) {
  Require(findings, settings.memory_mb >= kMinMemoryMb, "/memory_mb",
          "must be at least 32");
  Require(findings,
          settings.max_descriptors == 0 ||
              settings.max_descriptors >= kMinDescriptors,
          "/max_descriptors", "must be 0 or at least 64");
  Require(findings,
          settings.max_header_bytes >= kMinHeaderBytes &&
              settings.max_header_bytes <= kMaxHeaderBytes,
          "/max_header_bytes", "must be from 1024 to 1048576");
  Require(findings, settings.header_timeout > model::duration(0),
          "/header_timeout_ms", "must be above 0");
  Require(findings, settings.idle_timeout > model::duration(0),
          "/idle_timeout_ms", "must be above 0");
  Require(findings, settings.max_operator_connections > 0,
          "/max_operator_connections", "must be above 0");
}

}  // namespace

wire::result<dispatch_settings> ParseDispatchSettings(const std::string& text) {
  const yaml_source source = ParseYaml(text);
  model::findings findings = source.findings;
  if (!findings.empty())
    return boost::leaf::new_error(std::move(findings));
  nlohmann::ordered_json content = source.content;
  AddDerivedLimits(content);
  dispatch_settings parsed =
      wire::detail::DecodeJson<dispatch_settings>(content, "", findings);
  CheckSettings(findings, parsed);
  CheckClientLimits(findings, parsed);
  if (!findings.empty())
    return boost::leaf::new_error(LocateFindings(source, findings));
  return parsed;
}

bool LooksLikeDispatchSettings(const std::string& text) {
  const yaml_source source = ParseYaml(text);
  return source.content.is_object() && source.content.contains("store_address");
}

}  // namespace parsleyhitch::settings
