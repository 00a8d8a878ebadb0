// Property test of several entries: under random failures no invariant is
// violated, and once everything is repaired all accepted jobs end.

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "replay/simulation.h"

namespace model = parsleyhitch::model;
namespace replay = parsleyhitch::replay;

namespace {

constexpr std::uint32_t kEntries = 3;
constexpr std::uint32_t kWorkers = 12;
constexpr std::int64_t kFaultsFromMs = 3000;
constexpr std::int64_t kFaultsUntilMs = 30000;
constexpr std::int64_t kRepairedAtMs = 40000;
constexpr std::int64_t kUntilMs = 120000;

using replay::fault_kind;

// A kind of failure and the fault that repairs it.
struct failure_kind {
  fault_kind kind;
  fault_kind repair;
  bool of_worker;
};

const std::vector<failure_kind>& FailureKinds() {
  static const std::vector<failure_kind> kinds{
      {fault_kind::kKillEntry, fault_kind::kStartEntry, false},
      {fault_kind::kFreezeEntry, fault_kind::kThawEntry, false},
      {fault_kind::kCutEntryFromLog, fault_kind::kJoinEntryToLog, false},
      {fault_kind::kCutEntryFromPeers, fault_kind::kJoinEntryToPeers, false},
      {fault_kind::kLogDown, fault_kind::kLogUp, false},
      {fault_kind::kLogSlow, fault_kind::kLogUp, false},
      {fault_kind::kLoseAppendAnswers, fault_kind::kLogUp, false},
      {fault_kind::kTrimLog, fault_kind::kLogUp, false},
      {fault_kind::kVmListDown, fault_kind::kVmListUp, false},
      {fault_kind::kKillWorker, fault_kind::kStartWorker, true},
      {fault_kind::kFreezeWorker, fault_kind::kThawWorker, true},
      {fault_kind::kLoseWorkerAnswers, fault_kind::kEndpointWell, true},
      {fault_kind::kFailTasks, fault_kind::kMendTasks, true},
      {fault_kind::kIgnoreCheckpoints, fault_kind::kEndpointWell, true},
      {fault_kind::kEndpointSilent, fault_kind::kEndpointWell, true},
      {fault_kind::kEndpointCrossed, fault_kind::kEndpointWell, true},
      {fault_kind::kEndpointLate, fault_kind::kEndpointWell, true},
  };
  return kinds;
}

struct random_failure {
  std::size_t kind;
  std::int64_t at;
  std::int64_t duration_ms;
  std::uint32_t target;
};

struct cluster_fixture {
  std::vector<replay::fault> faults;
  std::vector<replay::job_arrival> jobs;
  std::vector<replay::request_arrival> requests;

  void AddFailure(const random_failure& generated) {
    const failure_kind& kind = FailureKinds().at(generated.kind);
    const std::string worker =
        kind.of_worker ? "w-" + std::to_string(generated.target % kWorkers)
                       : "";
    const std::uint32_t entry = generated.target % kEntries;
    // Half a second of delay, thirty retained batches, or three lost answers.
    const std::uint64_t number = kind.kind == fault_kind::kLogSlow   ? 500
                                 : kind.kind == fault_kind::kTrimLog ? 30
                                                                     : 3;
    faults.push_back({.at = model::duration(generated.at),
                      .kind = kind.kind,
                      .entry = entry,
                      .worker = worker,
                      .number = number});
    faults.push_back({.at = model::duration(std::min(
                          generated.at + generated.duration_ms, kRepairedAtMs)),
                      .kind = kind.repair,
                      .entry = entry,
                      .worker = worker});
  }

  void AddWork() {
    for (int i = 0; i < 24; ++i) {
      const bool guaranteed = i % 6 == 0;
      const bool gang = i % 3 == 1;
      jobs.push_back(
          {.at = model::duration(3000 + i * 1000),
           .entry = static_cast<std::uint32_t>(i) % kEntries,
           .name = "job-" + std::to_string(i),
           .spec = {.owner =
                        model::workspace_id(guaranteed ? "coop" : "laundry"),
                    .kind = "k",
                    .capacity = {.gang_size = guaranteed || gang ? 4U : 1U,
                                 .accelerators = gang ? 4U : 8U,
                                 .nearness = guaranteed
                                                 ? model::adjacency::kRack
                                                 : model::adjacency::kAny},
                    .declared_run_time = model::duration(2000),
                    .preemptible = !guaranteed},
           .runs = model::duration(2500)});
    }
    // Each key is sent through every entry, in some cases at the same time.
    for (int i = 0; i < 60; ++i) {
      const std::string key = "k" + std::to_string(i / 3);
      requests.push_back({.at = model::duration(3000 + (i / 3) * 1200 +
                                                (i % 3) * (i % 5) * 40),
                          .entry = static_cast<std::uint32_t>(i) % kEntries,
                          .name = "log-" + std::to_string(i),
                          .target = model::service_id("log"),
                          .owner = model::workspace_id("coop"),
                          .idempotent = false,
                          .key = model::idempotency_key(key),
                          .within = model::duration(4000),
                          .body = key,
                          .takes = model::duration(30)});
    }
  }

  replay::scenario Build(std::uint64_t seed) const {
    const model::shape rack{
        .gang_size = 4, .accelerators = 8, .nearness = model::adjacency::kRack};
    return {
        .setup = {.entries = kEntries,
                  .seed = seed,
                  .latency = model::duration(1),
                  .jitter = model::duration(20),
                  .until = model::duration(kUntilMs),
                  .workers = {{.prefix = "w",
                               .count = kWorkers,
                               .failure_domain = model::failure_domain_id("fd"),
                               .workers_per_rack = 4,
                               .accelerators = 8,
                               .slots = 8}},
                  .manifest =
                      {.version = 1,
                       .base = 0,
                       .workspaces = {{.id = model::workspace_id("coop"),
                                       .guarantees = {{.name = "wear",
                                                       .capacity = rack}}},
                                      {.id = model::workspace_id("laundry")}},
                       .services = {{.id = model::service_id("log"),
                                     .owner = model::workspace_id("coop"),
                                     .default_deadline =
                                         model::duration(4000)}}},
                  .limits = {.checkpoint_every_batches = 15}},
        .jobs = jobs,
        .requests = requests,
        .faults = faults};
  }
};

std::vector<random_failure> GenerateFailures() {
  const auto count = *rc::gen::inRange<std::size_t>(1, 7);
  std::vector<random_failure> generated;
  for (std::size_t i = 0; i < count; ++i) {
    generated.push_back(
        {.kind = *rc::gen::inRange<std::size_t>(0, FailureKinds().size()),
         .at = *rc::gen::inRange<std::int64_t>(kFaultsFromMs, kFaultsUntilMs),
         .duration_ms = *rc::gen::inRange<std::int64_t>(50, 15000),
         .target = *rc::gen::inRange<std::uint32_t>(0, kWorkers)});
  }
  return generated;
}

std::string Describe(const cluster_fixture& cluster) {
  std::string text;
  for (const replay::fault& fault : cluster.faults) {
    text += std::to_string(fault.at.count()) + " kind " +
            std::to_string(static_cast<int>(fault.kind)) + " entry " +
            std::to_string(fault.entry) + " " + fault.worker + "\n";
  }
  return text;
}

// Names of the jobs that were accepted and have not ended.
std::string UnfinishedJobs(const replay::run_result& result) {
  std::string unfinished;
  for (const replay::call_outcome& outcome : result.outcomes) {
    const auto phases = result.phases.find(outcome.name);
    const bool accepted =
        outcome.answer.kind == model::answer_kind::kAccepted &&
        outcome.answer.job.has_value();
    const bool ended = phases != result.phases.end() &&
                       (phases->second.contains(model::job_phase::kFinished) ||
                        phases->second.contains(model::job_phase::kFailed));
    if (accepted && !ended)
      unfinished += outcome.name + " ";
  }
  return unfinished;
}

}  // namespace

Test(properties, entries_under_any_failures_break_no_invariant_and_go_on) {
  const bool held = rc::check("no invariant is broken", [] {
    cluster_fixture cluster;
    cluster.AddWork();
    for (const random_failure& generated : GenerateFailures())
      cluster.AddFailure(generated);
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    const replay::scenario scenario = cluster.Build(seed);
    const replay::run_result result = replay::RunScenario(scenario, {});
    RC_LOG() << "seed " << seed << "\n" << Describe(cluster);
    for (const replay::breach& breach : result.breaches) {
      RC_FAIL(breach.rule + ": " + breach.description + " at " +
              std::to_string((breach.at - replay::kRunStart).count()));
    }
    const std::string unfinished = UnfinishedJobs(result);
    if (!unfinished.empty())
      RC_FAIL("not ended: " + unfinished);
  });
  cr_assert(held);
}
