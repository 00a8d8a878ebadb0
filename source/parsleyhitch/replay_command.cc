// parsleyhitch replay: traces and recordings through the reducer.

#include "parsleyhitch/replay_command.h"

#include <iostream>
#include <optional>

#include "parsleyhitch/exit_codes.h"
#include "parsleyhitch/output.h"
#include "replay/expectations.h"
#include "replay/policy_report.h"
#include "replay/recording.h"
#include "replay/scenario_file.h"
#include "replay/simulation.h"
#include "wire/json_codec.h"

namespace parsleyhitch {

namespace {

void PrintRow(const std::string& file,
              const replay::expectation_result& row,
              bool json) {
  if (json) {
    const wire::json line{{"file", file},
                          {"expected", row.expected},
                          {"held", row.held},
                          {"seen", row.seen}};
    std::cout << line.dump() << "\n";
    return;
  }
  std::cout << (row.held ? "held    " : "MISSED  ") << file << "  "
            << row.expected << "  (" << row.seen << ")\n";
}

int ReplayTrace(const std::string& file,
                const replay::scenario& scenario,
                const command_input& input) {
  const bool json = input.json;
  const replay::run_result result =
      replay::RunScenario(scenario, {.naive = input.naive});
  int code = kExitOk;
  for (const replay::expectation_result& row :
       replay::EvaluateExpectations(scenario, result)) {
    PrintRow(file, row, json);
    code = row.held ? code : kExitFindings;
  }
  return code;
}

int ReplayRecording(const std::string& file,
                    const replay::recording_result& result,
                    bool json) {
  const bool same = result.first_difference == 0;
  PrintRow(file,
           {.expected = "the same effects, byte for byte",
            .held = same,
            .seen = same ? std::to_string(result.steps) + " steps"
                         : "line " + std::to_string(result.first_difference) +
                               " differs"},
           json);
  return same ? kExitOk : kExitFindings;
}

int ReplayFile(const std::string& path, const command_input& input) {
  const bool json = input.json;
  const std::optional<std::string> text = ReadFile(path);
  if (!text)
    return kExitUsage;
  const auto on_faults = [&](const model::findings& faults) {
    PrintFindings(path, faults, json);
    return kExitFindings;
  };
  if (replay::IsRecording(*text)) {
    return wire::Handle([&] { return replay::RunRecording(*text); },
                        [&](const replay::recording_result& result) {
                          return ReplayRecording(path, result, json);
                        },
                        on_faults);
  }
  return wire::Handle([&] { return replay::ParseScenario(*text); },
                      [&](const replay::scenario& scenario) {
                        return ReplayTrace(path, scenario, input);
                      },
                      on_faults);
}

// Both policies on each trace, then the spread over the traces of one workload.
int CompareTraces(const command_input& input) {
  std::vector<replay::policy_comparison> comparisons;
  for (const std::string& path : input.arguments) {
    const std::optional<std::string> text = ReadFile(path);
    if (!text)
      return kExitUsage;
    auto scenario = wire::ValueOf([&] { return replay::ParseScenario(*text); });
    if (!scenario) {
      std::cerr << path << " is not a trace\n";
      return kExitFindings;
    }
    comparisons.push_back(replay::Compare(path, *scenario));
    std::cout << replay::ComparisonTable(comparisons.back()) << "\n";
  }
  std::cout << replay::SpreadTable(comparisons);
  return kExitOk;
}

}  // namespace

int RunReplay(const command_input& input) {
  if (input.arguments.empty()) {
    std::cerr << "replay needs a trace\n";
    return kExitUsage;
  }
  if (!input.compare.empty() && input.compare != "baseline") {
    std::cerr << "--compare knows only baseline\n";
    return kExitUsage;
  }
  if (!input.compare.empty())
    return CompareTraces(input);
  int worst = kExitOk;
  for (const std::string& path : input.arguments)
    worst = std::max(worst, ReplayFile(path, input));
  return worst;
}

}  // namespace parsleyhitch
