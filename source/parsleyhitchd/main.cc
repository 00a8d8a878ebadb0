// The daemon that runs on every entry VM.

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
DEFINE_string(record, "", "file that takes a recording of events and effects");

namespace parsleyhitch {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFindings = 1;
constexpr int kExitUsage = 2;
constexpr int kExitFailure = 3;

void PrintFindings(const std::string& file, const model::findings& faults) {
  for (const model::finding& each : faults) {
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

// Runs the entry; what keeps it from starting goes into the log.
template <typename Start>
int RunLogged(const std::string& entry, Start start) {
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
  return RunLogged(settings.entry.value(),
                   [&] { runtime::RunEntry(settings, FLAGS_record); });
}

std::optional<settings::dispatch_settings> Reread() {
  const std::optional<std::string> text = ReadFile(FLAGS_config);
  if (!text)
    return {};
  return wire::Handle(
      [&] { return settings::ParseDispatchSettings(*text); },
      [](settings::dispatch_settings read) {
        return std::optional<settings::dispatch_settings>(std::move(read));
      },
      [](const model::findings& faults) {
        PrintFindings(FLAGS_config, faults);
        return std::optional<settings::dispatch_settings>();
      });
}

int RunDispatcher(const settings::dispatch_settings& settings) {
  return RunLogged(settings.entry.value(),
                   [&] { runtime::RunDispatcher(settings, Reread); });
}

int Main() {
  const std::optional<std::string> text = ReadFile(FLAGS_config);
  if (!text) {
    std::cerr << "can't read --config '" << FLAGS_config << "'\n";
    return kExitUsage;
  }
  const auto report = [](const model::findings& faults) {
    PrintFindings(FLAGS_config, faults);
    return kExitFindings;
  };
  if (settings::LooksLikeDispatchSettings(*text)) {
    return wire::Handle([&] { return settings::ParseDispatchSettings(*text); },
                        RunDispatcher, report);
  }
  return wire::Handle([&] { return settings::ParseSettings(*text); }, RunEntry,
                      report);
}

}  // namespace

}  // namespace parsleyhitch

int main(int argc, char** argv) {
  gflags::SetUsageMessage("parsleyhitchd --config FILE [--record FILE]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleyhitch::Main();
}
