// The daemon that runs on every entry VM, as a scheduler or a dispatcher entry.

#include <gflags/gflags.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include "runtime/dispatch_process.h"
#include "runtime/entry_process.h"
#include "runtime/json_log.h"
#include "settings/dispatch_settings.h"
#include "settings/settings_file.h"

DEFINE_string(config, "", "settings file (YAML)");
DEFINE_string(record,
              "",
              "file to write the recording of events and effects to");

namespace parsleyhitch {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFindings = 1;
constexpr int kExitUsage = 2;
constexpr int kExitFailure = 3;

void PrintFindings(const std::string& file, const model::findings& findings) {
  for (const model::finding& each : findings) {
    std::cerr << file << ":" << each.line << ":" << each.column << ": "
              << each.place << " " << each.message << "\n";
  }
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return {};
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Runs the entry; logs the exception if it fails to start.
template <typename Start>
int RunWithLog(const std::string& entry, Start start) {
  runtime::StartJsonLog(entry);
  try {
    start();
  } catch (const std::exception& error) {
    runtime::WriteJsonLog(
        model::write_log_line{.level = model::severity::kWarning,
                              .message = "can't start",
                              .subject = error.what()});
    return kExitFailure;
  }
  return kExitOk;
}

int RunEntry(const settings::settings& settings) {
  return RunWithLog(settings.entry.value(),
                    [&] { runtime::RunEntry(settings, FLAGS_record); });
}

std::optional<settings::dispatch_settings> ReadSettings() {
  const std::optional<std::string> text = ReadFile(FLAGS_config);
  if (!text)
    return {};
  return wire::Handle(
      [&] { return settings::ParseDispatchSettings(*text); },
      [](settings::dispatch_settings parsed) {
        return std::optional<settings::dispatch_settings>(std::move(parsed));
      },
      [](const model::findings& findings) {
        PrintFindings(FLAGS_config, findings);
        return std::optional<settings::dispatch_settings>();
      });
}

int RunDispatcher(const settings::dispatch_settings& settings) {
  return RunWithLog(settings.entry.value(),
                    [&] { runtime::RunDispatcher(settings, ReadSettings); });
}

int Main() {
  const std::optional<std::string> text = ReadFile(FLAGS_config);
  if (!text) {
    std::cerr << "can't read the settings file (--config) '" << FLAGS_config
              << "'\n";
    return kExitUsage;
  }
  const auto on_findings = [](const model::findings& findings) {
    PrintFindings(FLAGS_config, findings);
    return kExitFindings;
  };
  if (settings::LooksLikeDispatchSettings(*text)) {
    return wire::Handle([&] { return settings::ParseDispatchSettings(*text); },
                        RunDispatcher, on_findings);
  }
  return wire::Handle([&] { return settings::ParseSettings(*text); }, RunEntry,
                      on_findings);
}

}  // namespace

}  // namespace parsleyhitch

int main(int argc, char** argv) {
  gflags::SetUsageMessage("parsleyhitchd --config FILE [--record FILE]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleyhitch::Main();
}
