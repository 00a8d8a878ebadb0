// parsleyhitch replay: runs traces and recordings through the reducer.

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

void PrintOutcome(const std::string& file,
                  const replay::expectation_result& outcome,
                  bool json) {
  if (json) {
    const wire::json line{{"file", file},
                          {"expected", outcome.expected},
                          {"held", outcome.held},
                          {"seen", outcome.seen}};
    std::cout << line.dump() << "\n";
    return;
  }
  std::cout << (outcome.held ? "held    " : "MISSED  ") << file << "  "
            << outcome.expected << "  (" << outcome.seen << ")\n";
}

int ReplayTrace(const std::string& file,
                const replay::scenario& scenario,
                const command_input& input) {
  const bool json = input.json;
  const replay::run_result result =
      replay::RunScenario(scenario, {.naive = input.naive});
  int exit_code = kExitOk;
  for (const replay::expectation_result& outcome :
       replay::EvaluateExpectations(scenario, result)) {
    PrintOutcome(file, outcome, json);
    exit_code = outcome.held ? exit_code : kExitFindings;
  }
  return exit_code;
}

int ReplayRecording(const std::string& file,
                    const replay::recording_result& result,
                    bool json) {
  const bool identical = result.first_difference == 0;
  PrintOutcome(
      file,
      {.expected = "the same effects, byte for byte",
       .held = identical,
       .seen = identical ? std::to_string(result.steps) + " steps"
                         : "line " + std::to_string(result.first_difference) +
                               " differs"},
      json);
  return identical ? kExitOk : kExitFindings;
}

int ReplayFile(const std::string& path, const command_input& input) {
  const bool json = input.json;
  const std::optional<std::string> text = ReadFile(path);
  if (!text)
    return kExitUsage;
  const auto on_findings = [&](const model::findings& findings) {
    PrintFindings(path, findings, json);
    return kExitFindings;
  };
  if (replay::IsRecording(*text)) {
    return wire::Handle([&] { return replay::RunRecording(*text); },
                        [&](const replay::recording_result& result) {
                          return ReplayRecording(path, result, json);
                        },
                        on_findings);
  }
  return wire::Handle([&] { return replay::ParseScenario(*text); },
                      [&](const replay::scenario& scenario) {
                        return ReplayTrace(path, scenario, input);
                      },
                      on_findings);
}

// Compares both policies on each trace, then prints the spread over the traces
// of each workload.
int CompareTraces(const command_input& input) {
  std::vector<replay::policy_comparison> comparisons;
  for (const std::string& path : input.arguments) {
    const std::optional<std::string> text = ReadFile(path);
    if (!text)
      return kExitUsage;
    auto scenario = wire::ValueOf([&] { return replay::ParseScenario(*text); });
    if (!scenario) {
      std::cerr << path << " is not a valid trace\n";
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
    std::cerr << "replay: expected at least one trace or recording\n";
    return kExitUsage;
  }
  if (!input.compare.empty() && input.compare != "baseline") {
    std::cerr << "--compare must be baseline\n";
    return kExitUsage;
  }
  if (!input.compare.empty())
    return CompareTraces(input);
  int exit_code = kExitOk;
  for (const std::string& path : input.arguments)
    exit_code = std::max(exit_code, ReplayFile(path, input));
  return exit_code;
}

}  // namespace parsleyhitch
