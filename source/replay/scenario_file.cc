// Parses and encodes trace files.

#include "replay/scenario_file.h"

#include <sstream>
#include <utility>

#include "replay/workload.h"
#include "wire/json_codec.h"

namespace parsleyhitch::replay {

BOOST_DESCRIBE_ENUM(fault_kind,
                    kKillEntry,
                    kStartEntry,
                    kFreezeEntry,
                    kThawEntry,
                    kDrainEntry,
                    kCutEntryFromLog,
                    kJoinEntryToLog,
                    kCutEntryFromPeers,
                    kJoinEntryToPeers,
                    kLogDown,
                    kLogUp,
                    kLogSlow,
                    kLoseAppendAnswers,
                    kTrimLog,
                    kVmListDown,
                    kVmListUp,
                    kKillWorker,
                    kStartWorker,
                    kFreezeWorker,
                    kThawWorker,
                    kLoseWorkerAnswers,
                    kFailTasks,
                    kMendTasks,
                    kIgnoreCheckpoints,
                    kLeaveListed,
                    kLeaveTold,
                    kEndpointSilent,
                    kEndpointCrossed,
                    kEndpointLate,
                    kEndpointWell)
BOOST_DESCRIBE_ENUM(expected_kind,
                    kJobPhase,
                    kAnswer,
                    kRuns,
                    kRunsAtMost,
                    kVersion,
                    kQuiet,
                    kStopped,
                    kCount,
                    kNoneLate)
PARSLEYHITCH_DESCRIBE(worker_group,
                      prefix,
                      count,
                      failure_domain,
                      workers_per_rack,
                      accelerators,
                      slots)
PARSLEYHITCH_DESCRIBE(setup,
                      entries,
                      seed,
                      latency,
                      jitter,
                      vm_list_lag,
                      until,
                      workers,
                      manifest,
                      limits)
PARSLEYHITCH_DESCRIBE(workload, name, seed)
PARSLEYHITCH_DESCRIBE(job_arrival, at, entry, name, spec, runs)
PARSLEYHITCH_DESCRIBE(job_cancel, at, entry, name)
PARSLEYHITCH_DESCRIBE(request_arrival,
                      at,
                      entry,
                      name,
                      target,
                      owner,
                      idempotent,
                      key,
                      within,
                      body,
                      takes)
PARSLEYHITCH_DESCRIBE(manifest_arrival, at, entry, name, proposed)
PARSLEYHITCH_DESCRIBE(fault, at, kind, entry, worker, number)
PARSLEYHITCH_DESCRIBE(expectation, kind, subject, value, number, within, by)

namespace {

// Lines parsed so far, by type.
struct collected_lines {
  std::string workload;
  std::vector<setup> setups;
  std::vector<job_arrival> jobs;
  std::vector<job_cancel> cancels;
  std::vector<request_arrival> requests;
  std::vector<manifest_arrival> manifests;
  std::vector<fault> faults;
  std::vector<expectation> expectations;
};

void Collect(collected_lines& lines, const setup& line) {
  lines.setups.push_back(line);
}
void Collect(collected_lines& lines, const job_arrival& line) {
  lines.jobs.push_back(line);
}
void Collect(collected_lines& lines, const job_cancel& line) {
  lines.cancels.push_back(line);
}
void Collect(collected_lines& lines, const request_arrival& line) {
  lines.requests.push_back(line);
}
void Collect(collected_lines& lines, const manifest_arrival& line) {
  lines.manifests.push_back(line);
}
void Collect(collected_lines& lines, const fault& line) {
  lines.faults.push_back(line);
}
void Collect(collected_lines& lines, const expectation& line) {
  lines.expectations.push_back(line);
}

void Collect(collected_lines& lines, const workload& line) {
  lines.workload = line.name;
  for (const scenario_line& generated : GenerateWorkload(line)) {
    std::visit([&](const auto& each) { Collect(lines, each); }, generated);
  }
}

void AddFindings(model::findings& all,
                 const model::findings& findings,
                 std::uint32_t line) {
  for (const model::finding& each : findings) {
    all.push_back({.place = each.place,
                   .message = each.message,
                   .line = line,
                   .column = 1});
  }
}

}  // namespace

wire::result<scenario> ParseScenario(const std::string& text) {
  std::stringstream stream(text);
  std::string line;
  std::uint32_t number = 0;
  model::findings all;
  collected_lines lines;
  while (std::getline(stream, line)) {
    ++number;
    if (line.empty() || line.starts_with("//"))
      continue;
    wire::Handle([&] { return wire::FromJson<scenario_line>(line); },
                 [&](const scenario_line& parsed) {
                   std::visit([&](const auto& each) { Collect(lines, each); },
                              parsed);
                   return true;
                 },
                 [&](const model::findings& findings) {
                   AddFindings(all, findings, number);
                   return false;
                 });
  }
  if (lines.setups.size() != 1)
    all.push_back(
        {.message = "needs exactly one setup line", .line = 1, .column = 1});
  if (!all.empty())
    return boost::leaf::new_error(std::move(all));
  return scenario{.workload = std::move(lines.workload),
                  .setup = lines.setups.front(),
                  .jobs = std::move(lines.jobs),
                  .cancels = std::move(lines.cancels),
                  .requests = std::move(lines.requests),
                  .manifests = std::move(lines.manifests),
                  .faults = std::move(lines.faults),
                  .expectations = std::move(lines.expectations)};
}

std::string EncodeScenarioLine(const scenario_line& line) {
  return wire::ToJson(line);
}

}  // namespace parsleyhitch::replay
