// parsleyhitch check: validates settings and manifest files.

#include "parsleyhitch/check.h"

#include <iostream>
#include <optional>

#include "parsleyhitch/exit_codes.h"
#include "parsleyhitch/output.h"
#include "settings/manifest_file.h"
#include "settings/settings_file.h"

namespace parsleyhitch {

namespace {

int CheckFile(const std::string& path, bool json) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text)
    return kExitUsage;
  const auto on_success = [&](const auto&) {
    std::cout << (json ? "[]" : path) << (json ? "\n" : ": no findings\n");
    return kExitOk;
  };
  const auto on_findings = [&](const model::findings& findings) {
    PrintFindings(path, findings, json);
    return kExitFindings;
  };
  if (settings::LooksLikeSettings(*text)) {
    return wire::Handle([&] { return settings::ParseSettings(*text); },
                        on_success, on_findings);
  }
  return wire::Handle([&] { return settings::ParseManifest(*text); },
                      on_success, on_findings);
}

}  // namespace

int RunCheck(const command_input& input) {
  if (input.arguments.empty()) {
    std::cerr << "check: expected at least one file\n";
    return kExitUsage;
  }
  int exit_code = kExitOk;
  for (const std::string& path : input.arguments)
    exit_code = std::max(exit_code, CheckFile(path, input.json));
  return exit_code;
}

}  // namespace parsleyhitch
