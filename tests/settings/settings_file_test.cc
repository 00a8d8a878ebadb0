// Tests of the parsing and validation of settings and manifest files.

#include "settings/settings_file.h"

#include <criterion/criterion.h>

#include "settings/manifest_file.h"

namespace model = parsleyhitch::model;
namespace settings = parsleyhitch::settings;
namespace wire = parsleyhitch::wire;

namespace {

constexpr char kValidSettings[] = R"(entry: entry-1
failure_domain: bajio-1
http_listen: 127.0.0.1:7401
peer_listen: 127.0.0.1:7411
log_address: 127.0.0.1:7450
vm_list_address: 127.0.0.1:7451
peers:
  - entry: entry-2
    address: 127.0.0.1:7412
limits:
  lease_ms: 5000
)";

constexpr char kFiveErrors[] = R"(entry: entry-1
failure_domain: ""
http_listen: localhost:7401
peer_listen: 127.0.0.1:7411
log_address: 127.0.0.1:7450
vm_list_address: 127.0.0.1:7451
peers:
  - entry: entry-1
    address: 127.0.0.1:99999
limits:
  leese_ms: 5000
)";

struct files_fixture {
  static model::findings SettingsFindings(const std::string& text) {
    return wire::Handle(
        [&] { return settings::ParseSettings(text); },
        [](const settings::settings&) { return model::findings(); },
        [](const model::findings& findings) { return findings; });
  }

  static model::findings ManifestFindings(const std::string& text) {
    return wire::Handle(
        [&] { return settings::ParseManifest(text); },
        [](const model::manifest&) { return model::findings(); },
        [](const model::findings& findings) { return findings; });
  }
};

}  // namespace

Test(settings_file, valid_settings_have_no_findings) {
  cr_assert(files_fixture::SettingsFindings(kValidSettings).empty());
}

Test(settings_file, five_errors_are_reported_together_with_line_and_column) {
  const model::findings findings = files_fixture::SettingsFindings(kFiveErrors);
  cr_assert_eq(findings.size(), 5);
  const std::uint32_t lines[] = {2, 3, 8, 9, 11};
  for (std::size_t i = 0; i < findings.size(); ++i) {
    cr_assert_eq(findings[i].line, lines[i], "%s", findings[i].place.c_str());
    cr_assert_gt(findings[i].column, 0);
  }
}

Test(settings_file, duplicate_key_is_reported) {
  const auto findings = files_fixture::SettingsFindings(
      std::string(kValidSettings) + "entry: again\n");
  cr_assert_eq(findings.size(), 1);
  cr_assert_eq(findings.front().line, 12);
}

Test(settings_file, malformed_yaml_is_reported) {
  cr_assert_eq(files_fixture::SettingsFindings("entry: [").size(), 1);
}

Test(manifest_file, cycle_of_parents_and_unknown_owner_are_reported_together) {
  const auto findings = files_fixture::ManifestFindings(R"(version: 1
base: 0
workspaces:
  - {id: a, parent: b}
  - {id: b, parent: a}
services:
  - {id: s, owner: c, default_deadline_ms: 10}
)");
  cr_assert_eq(findings.size(), 3);
  cr_assert_eq(findings.back().line, 7);
}

Test(manifest_file, guarantee_of_zero_capacity_is_reported) {
  const auto findings = files_fixture::ManifestFindings(R"(version: 1
workspaces:
  - id: a
    guarantees:
      - {name: g, capacity: {gang_size: 0, accelerators: 0}}
)");
  cr_assert_eq(findings.size(), 2);
}
