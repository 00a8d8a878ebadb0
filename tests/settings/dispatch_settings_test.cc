// Tests of the parsing and validation of the dispatcher's settings.

#include "settings/dispatch_settings.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

namespace model = parsleyhitch::model;
namespace settings = parsleyhitch::settings;
namespace wire = parsleyhitch::wire;
namespace work = parsleyhitch::work;

namespace {

constexpr char kValidSettings[] = R"(entry: "front-1"
failure_domain: "zone-1"
callers_listen: "10.1.0.19:8521"
probes_listen: "10.1.0.19:8523"
peers_listen: "10.1.0.19:7000"
metrics_listen: "10.1.0.19:7001"
store_address: "10.200.1.7:8524"
cpu_share: 0.25
shutdown_grace_s: 6
longest_lease_ms: 10000
task_stop_ms: 200
)";

// Bounds that deployments state, and the size of an entry.
struct bounds_row {
  std::int64_t stop_ms = 0;
  std::int64_t hold_max_ms = 0;
  const char* save_s = "";
  std::int64_t restore_ms = 0;
  const char* cpu_share = "";
};

constexpr bounds_row kDeployments[] = {
    {.stop_ms = 200,
     .hold_max_ms = 10000,
     .save_s = "2",
     .restore_ms = 250,
     .cpu_share = "0.25"},
    {.stop_ms = 200,
     .hold_max_ms = 10000,
     .save_s = "0.5",
     .restore_ms = 100,
     .cpu_share = "0.12"},
    {.stop_ms = 200,
     .hold_max_ms = 6000,
     .save_s = "1",
     .restore_ms = 600,
     .cpu_share = "0.5"},
    {.stop_ms = 400,
     .hold_max_ms = 10000,
     .save_s = "0.5",
     .restore_ms = 100,
     .cpu_share = "0.25"},
    {.stop_ms = 400,
     .hold_max_ms = 10000,
     .save_s = "2",
     .restore_ms = 600,
     .cpu_share = "0.12"},
    {.stop_ms = 900,
     .hold_max_ms = 10000,
     .save_s = "2",
     .restore_ms = 250,
     .cpu_share = "0.09"},
    // Below what any deployment has stated so far.
    {.stop_ms = 50,
     .hold_max_ms = 4000,
     .save_s = "4",
     .restore_ms = 1000,
     .cpu_share = "1"},
};

struct settings_fixture {
  // The deployed template with the figures of one deployment.
  static std::string Render(const bounds_row& bounds) {
    std::ifstream file(std::string(PARSLEYHITCH_SOURCE_DIR) +
                       "/deploy/settings.yaml.template");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    const std::map<std::string, std::string> values{
        {"nodeName", "front-1"},
        {"zone", "zone-1"},
        {"ip", "10.1.0.19"},
        {"listenAddrs.front", "10.1.0.19:8521"},
        {"listenAddrs.ready", "10.1.0.19:8523"},
        {"portRange.0", "7000"},
        {"portRange.1", "7001"},
        {"platform.address", "10.200.1.7:8524"},
        {"platform.recordBytes", "262144"},
        {"platform.callBytes", "2097152"},
        {"limits.cpuShare", bounds.cpu_share},
        {"limits.memoryMb", "120"},
        {"limits.maxFds", "3075"},
        {"bounds.graceS", "6"},
        {"bounds.holdMaxMs", std::to_string(bounds.hold_max_ms)},
        {"bounds.stopMs", std::to_string(bounds.stop_ms)},
        {"bounds.saveS", bounds.save_s},
        {"bounds.restoreMs", std::to_string(bounds.restore_ms)},
        {"bounds.farX", "3"},
        {"bounds.reclaimMs", "2900"},
        {"bounds.status_s", "120"}};
    for (const auto& [name, value] : values) {
      const std::string placeholder = "{{" + name + "}}";
      for (std::size_t at = text.find(placeholder); at != std::string::npos;
           at = text.find(placeholder))
        text.replace(at, placeholder.size(), value);
    }
    return text;
  }

  static model::findings Findings(const std::string& text) {
    return wire::Handle(
        [&] { return settings::ParseDispatchSettings(text); },
        [](const settings::dispatch_settings&) { return model::findings(); },
        [](const model::findings& findings) { return findings; });
  }
};

}  // namespace

Test(dispatch_settings, that_are_valid_have_no_findings) {
  cr_assert(settings_fixture::Findings(kValidSettings).empty());
  cr_assert(settings::LooksLikeDispatchSettings(kValidSettings));
}

Test(dispatch_settings, with_an_unknown_key_and_too_long_a_lease_report_both) {
  const auto findings =
      settings_fixture::Findings(std::string(kValidSettings) +
                                 "limits:\n  lease_ms: 20000\n  leese_ms: 1\n");
  cr_assert_eq(findings.size(), 2U);
  cr_assert_eq(findings[0].place, "/limits/lease_ms");
  cr_assert_eq(findings[0].line, 13U);
  cr_assert_eq(findings[1].place, "/limits/leese_ms");
}

Test(dispatch_settings, with_a_host_name_as_address_are_rejected) {
  std::string text = kValidSettings;
  text.replace(text.find("10.200.1.7"), 10, "store-host");
  const auto findings = settings_fixture::Findings(text);
  cr_assert_eq(findings.size(), 1U);
  cr_assert_eq(findings[0].place, "/store_address");
}

// Guards against a limit that is left out of the description and takes the
// value of the next one.
Test(dispatch_settings, with_one_limit_keep_the_defaults_of_all_others) {
  const auto parsed = wire::ValueOf([] {
    return settings::ParseDispatchSettings(std::string(kValidSettings) +
                                           "limits:\n  tick_ms: 50\n");
  });
  cr_assert(parsed->limits == work::limits{.tick = work::duration(50)});
}

Test(dispatch_settings, with_a_bound_for_slow_appends_have_it) {
  const auto parsed = wire::ValueOf([] {
    return settings::ParseDispatchSettings(std::string(kValidSettings) +
                                           "limits:\n  slow_append_ms: 400\n");
  });
  cr_assert(parsed->limits.slow_append == work::duration(400));
}

Test(dispatch_settings, with_a_retry_too_late_for_a_leader_are_rejected) {
  const auto findings = settings_fixture::Findings(
      std::string(kValidSettings) + "limits:\n  leader_retry_max_ms: 1000\n");
  cr_assert_eq(findings.size(), 1U);
  cr_assert_eq(findings[0].place, "/limits/leader_retry_max_ms");
}

// Guards against bounds of a deployment with which no entry starts.
Test(dispatch_settings, rendered_for_any_deployment_have_no_findings) {
  for (const bounds_row& bounds : kDeployments) {
    const std::string text = settings_fixture::Render(bounds);
    const auto parsed =
        wire::ValueOf([&] { return settings::ParseDispatchSettings(text); });
    cr_assert(parsed, "%s", text.c_str());
    cr_assert_gt(parsed->limits.lapse_margin.count(), bounds.stop_ms);
    cr_assert_leq(parsed->limits.lease.count(), bounds.hold_max_ms);
    cr_assert_eq(parsed->task_stop.count(), bounds.stop_ms);
  }
}

Test(dispatch_settings, with_a_margin_below_the_time_of_a_stop_are_rejected) {
  std::string text = kValidSettings;
  text.replace(text.find("task_stop_ms: 200"), 17, "task_stop_ms: 900");
  const auto findings =
      settings_fixture::Findings(text + "limits:\n  lapse_margin_ms: 500\n");
  cr_assert_eq(findings.size(), 1U);
  cr_assert_eq(findings[0].place, "/limits/lapse_margin_ms");
}

// Guards against a division by zero in planning.
Test(dispatch_settings, with_rates_of_zero_are_rejected) {
  const auto findings = settings_fixture::Findings(
      std::string(kValidSettings) +
      "limits:\n  plan_rate: 0\n  plan_scan_rate: 0\n  start_rate: 0\n");
  cr_assert_eq(findings.size(), 3U);
  cr_assert_eq(findings[0].place, "/limits/plan_rate");
  cr_assert_eq(findings[2].place, "/limits/start_rate");
}

Test(dispatch_settings, with_appends_below_the_size_of_a_record_are_rejected) {
  const auto findings = settings_fixture::Findings(
      std::string(kValidSettings) +
      "max_record_bytes: 2000\nmax_append_bytes: 1000\n");
  cr_assert_eq(findings.size(), 1U);
  cr_assert_eq(findings[0].place, "/max_append_bytes");
}

Test(dispatch_settings,
     with_sizes_that_the_platform_does_not_give_have_defaults) {
  const auto parsed = wire::ValueOf([] {
    return settings::ParseDispatchSettings(
        std::string(kValidSettings) +
        "max_record_bytes: \nmax_append_bytes: \n");
  });
  cr_assert_eq(parsed->max_record_bytes,
               settings::dispatch_settings().max_record_bytes);
}

// Guards against jobs whose state is told for less than the platform promises.
Test(dispatch_settings, with_a_time_to_tell_states_for_have_it) {
  const auto parsed = wire::ValueOf([] {
    return settings::ParseDispatchSettings(std::string(kValidSettings) +
                                           "job_state_kept_s: 300\n");
  });
  cr_assert_eq(parsed->job_state_kept_s, 300.0);
  const auto findings = settings_fixture::Findings(std::string(kValidSettings) +
                                                   "job_state_kept_s: 9\n");
  cr_assert_eq(findings.size(), 1U);
  cr_assert_eq(findings[0].place, "/job_state_kept_s");
}

// Guards against limits with which an entry serves nobody.
Test(dispatch_settings, with_limits_of_clients_that_serve_nobody_are_rejected) {
  const auto findings = settings_fixture::Findings(
      std::string(kValidSettings) +
      "memory_mb: 8\nmax_descriptors: 10\nmax_header_bytes: 10\n"
      "header_timeout_ms: 0\nidle_timeout_ms: 0\n"
      "max_operator_connections: 0\n");
  cr_assert_eq(findings.size(), 6U);
  cr_assert_eq(findings[0].place, "/memory_mb");
  cr_assert_eq(findings[1].place, "/max_descriptors");
  cr_assert_eq(findings[2].place, "/max_header_bytes");
  cr_assert_eq(findings[3].place, "/header_timeout_ms");
  cr_assert_eq(findings[4].place, "/idle_timeout_ms");
  cr_assert_eq(findings[5].place, "/max_operator_connections");
}

// Guards against figures of a machine that do not reach the settings.
Test(dispatch_settings, rendered_have_the_memory_and_descriptors) {
  const std::string text = settings_fixture::Render(kDeployments[0]);
  const auto parsed =
      wire::ValueOf([&] { return settings::ParseDispatchSettings(text); });
  cr_assert_eq(parsed->memory_mb, 120);
  cr_assert_eq(parsed->max_descriptors, 3075);
}
