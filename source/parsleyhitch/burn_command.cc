// parsleyhitch burn: service-level burn of live entries or of a trace.

#include "parsleyhitch/burn_command.h"

#include <fstream>
#include <iostream>
#include <optional>

#include "parsleyhitch/calls.h"
#include "parsleyhitch/exit_codes.h"
#include "parsleyhitch/output.h"
#include "replay/policy_report.h"
#include "replay/scenario_file.h"
#include "report/burn.h"
#include "report/burn_page.h"

namespace parsleyhitch {

namespace {

void Print(const std::vector<report::burn_line>& lines, bool json) {
  std::cout << (json ? report::EncodeBurn(lines) + "\n"
                     : report::BurnTable(lines));
}

int ReportLiveBurn(const command_input& input) {
  std::vector<std::vector<report::burn_line>> reports;
  for (const std::string& address : input.entries) {
    const runtime::http_outcome outcome =
        CallEntry(address, {.method = "GET", .path = "/v1/burn"});
    if (const auto* response = std::get_if<runtime::http_response>(&outcome))
      reports.push_back(report::DecodeBurn(response->body));
  }
  if (reports.empty()) {
    std::cerr << "no entry is reachable\n";
    return kExitUnreachable;
  }
  const std::vector<report::burn_line> sum = report::MergeBurnReports(reports);
  Print(sum, input.json);
  return kExitOk;
}

int ReportTraceBurn(const command_input& input) {
  const std::optional<std::string> text = ReadFile(input.trace);
  if (!text)
    return kExitUsage;
  const auto scenario =
      wire::ValueOf([&] { return replay::ParseScenario(*text); });
  if (!scenario) {
    std::cerr << input.trace << " is not a valid trace\n";
    return kExitFindings;
  }
  const replay::run_result result = replay::RunScenario(*scenario, {});
  const auto observations = replay::Observations(*scenario, result);
  const auto& objectives = scenario->setup.manifest.objectives;
  report::burn_counts counts;
  for (const report::observation& each : observations)
    counts = report::Observe(std::move(counts), objectives, each);
  const model::timestamp end = replay::kRunStart + scenario->setup.until;
  Print(report::BurnReport(counts, objectives, end), input.json);
  if (input.html.empty())
    return kExitOk;
  std::ofstream page(input.html);
  page << report::BurnPage("Service-level burn of " + input.trace, objectives,
                           observations);
  return page ? kExitOk : kExitUsage;
}

}  // namespace

int RunBurn(const command_input& input) {
  return input.trace.empty() ? ReportLiveBurn(input) : ReportTraceBurn(input);
}

}  // namespace parsleyhitch
