// parsleyhitch check: settings and manifests.

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
  const auto on_good = [&](const auto&) {
    std::cout << (json ? "[]" : path) << (json ? "\n" : ": no findings\n");
    return kExitOk;
  };
  const auto on_faults = [&](const model::findings& faults) {
    PrintFindings(path, faults, json);
    return kExitFindings;
  };
  if (settings::LooksLikeSettings(*text)) {
    return wire::Handle([&] { return settings::ParseSettings(*text); }, on_good,
                        on_faults);
  }
  return wire::Handle([&] { return settings::ParseManifest(*text); }, on_good,
                      on_faults);
}

}  // namespace

int RunCheck(const command_input& input) {
  if (input.arguments.empty()) {
    std::cerr << "check needs a file\n";
    return kExitUsage;
  }
  int worst = kExitOk;
  for (const std::string& path : input.arguments)
    worst = std::max(worst, CheckFile(path, input.json));
  return worst;
}

}  // namespace parsleyhitch
