// The daemon that runs on every entry VM.

#include <gflags/gflags.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "runtime/entry_process.h"
#include "runtime/json_log.h"
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

int Run(const settings::settings& settings) {
  runtime::StartJsonLog(settings.entry.value());
  try {
    runtime::RunEntry(settings, FLAGS_record);
  } catch (const std::exception& error) {
    runtime::WriteJsonLog({.level = model::severity::kWarning,
                           .message = "can't start",
                           .subject = error.what()});
    return kExitFailure;
  }
  return kExitOk;
}

int Main() {
  std::ifstream file(FLAGS_config);
  if (!file) {
    std::cerr << "can't read --config '" << FLAGS_config << "'\n";
    return kExitUsage;
  }
  std::stringstream text;
  text << file.rdbuf();
  return wire::Handle([&] { return settings::ParseSettings(text.str()); }, Run,
                      [&](const model::findings& faults) {
                        PrintFindings(FLAGS_config, faults);
                        return kExitFindings;
                      });
}

}  // namespace

}  // namespace parsleyhitch

int main(int argc, char** argv) {
  gflags::SetUsageMessage("parsleyhitchd --config FILE [--record FILE]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleyhitch::Main();
}
