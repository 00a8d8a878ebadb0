// Tests of the parsing and validation of the dispatcher's settings.

#include "settings/dispatch_settings.h"

#include <criterion/criterion.h>

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

struct settings_fixture {
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
