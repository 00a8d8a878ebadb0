// A trace as written down: the set-up, what arrives, what fails, and the
// outcomes that must hold.

#ifndef PARSLEYHITCH_REPLAY_SCENARIO_H_
#define PARSLEYHITCH_REPLAY_SCENARIO_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/job.h"
#include "model/limits.h"
#include "model/manifest.h"
#include "model/time.h"

namespace parsleyhitch::replay {

// Equal workers, named "<prefix>-<number>" from 0, filling racks in order.
struct worker_group {
  const std::string prefix;
  const std::uint32_t count = 0;
  const model::failure_domain_id failure_domain;
  const std::uint32_t workers_per_rack = 1;
  const std::uint32_t accelerators = 0;
  const std::uint32_t slots = 0;
  bool operator==(const worker_group&) const = default;
};

struct setup {
  // Entries are named "entry-<number>" from 0.
  const std::uint32_t entries = 3;
  const std::uint64_t seed = 1;
  // One way, between any two processes.
  const model::duration latency{1};
  // Up to so much is added to each message, at random: messages overtake one
  // another.
  const model::duration jitter{0};
  const model::duration vm_list_lag{0};
  // The run ends here.
  const model::duration until{0};
  const std::vector<worker_group> workers{};
  // Published as the first version, when the entries are up.
  const model::manifest manifest{};
  const model::limits limits{};
  bool operator==(const setup&) const = default;
};

struct job_arrival {
  const model::duration at{0};
  const std::uint32_t entry = 0;
  const std::string name;
  const model::job_spec spec{};
  // What the job really runs.
  const model::duration runs{0};
  bool operator==(const job_arrival&) const = default;
};

struct job_cancel {
  const model::duration at{0};
  const std::uint32_t entry = 0;
  // The name of the arrival.
  const std::string name;
  bool operator==(const job_cancel&) const = default;
};

struct request_arrival {
  const model::duration at{0};
  const std::uint32_t entry = 0;
  const std::string name;
  const model::service_id target;
  const model::workspace_id owner;
  const bool idempotent = true;
  const model::idempotency_key key;
  // Deadline from the arrival; 0 for the service's default.
  const model::duration within{0};
  const std::string body;
  // What the endpoint takes for it.
  const model::duration takes{0};
  bool operator==(const request_arrival&) const = default;
};

struct manifest_arrival {
  const model::duration at{0};
  const std::uint32_t entry = 0;
  const std::string name;
  const model::manifest proposed{};
  bool operator==(const manifest_arrival&) const = default;
};

enum class fault_kind {
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
  kLogSlow,            // number: milliseconds added to each answer
  kLoseAppendAnswers,  // number: how many
  kTrimLog,            // number: batches to keep
  kVmListDown,
  kVmListUp,
  kKillWorker,
  kStartWorker,
  kFreezeWorker,
  kThawWorker,
  kLoseWorkerAnswers,  // number: how many syncs are obeyed and not answered
  kFailTasks,
  kMendTasks,
  kIgnoreCheckpoints,
  kLeaveListed,      // the VM list says so
  kLeaveTold,        // the endpoint says so
  kEndpointSilent,   // runs requests and does not answer
  kEndpointCrossed,  // answers with another request's answer
  kEndpointLate,     // answers after the deadline
  kEndpointWell,
};

struct fault {
  const model::duration at{0};
  const fault_kind kind = fault_kind::kLogDown;
  const std::uint32_t entry = 0;
  // A worker's name, or a prefix with "*" for several.
  const std::string worker;
  const std::uint64_t number = 0;
  bool operator==(const fault&) const = default;
};

enum class expected_kind {
  kJobPhase,  // `subject` reaches `value` (a phase) within `within` of its
              // arrival
  kAnswer,  // `subject` is answered `value`: an answer's kind, or its run state
  kRuns,    // requests with key `subject` ran exactly `number` times
  kRunsAtMost,
  kVersion,   // `number` is in force at all live entries by `by`
  kQuiet,     // worker `subject` gets no new work after `by`
  kStopped,   // entry `number` has stopped by `by`
  kCount,     // counter `subject`, over all entries, is at least `number`
  kNoneLate,  // every request of service `subject` is answered whole
};

// One stated outcome. That no invariant is broken must hold for every trace.
struct expectation {
  const expected_kind kind = expected_kind::kAnswer;
  const std::string subject;
  const std::string value;
  const std::uint64_t number = 0;
  const model::duration within{0};
  const model::duration by{0};
  bool operator==(const expectation&) const = default;
};

// Stands for the set-up and arrivals that the generator makes from a seed
// (workload.h): "coop" or "blue-mahoe".
struct workload {
  const std::string name;
  const std::uint64_t seed = 1;
  bool operator==(const workload&) const = default;
};

using scenario_line = std::variant<setup,
                                   workload,
                                   job_arrival,
                                   job_cancel,
                                   request_arrival,
                                   manifest_arrival,
                                   fault,
                                   expectation>;

struct scenario {
  // The generator's workload that the trace stands for, if any.
  const std::string workload;
  const replay::setup setup{};
  const std::vector<job_arrival> jobs{};
  const std::vector<job_cancel> cancels{};
  const std::vector<request_arrival> requests{};
  const std::vector<manifest_arrival> manifests{};
  const std::vector<fault> faults{};
  const std::vector<expectation> expectations{};
};

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_SCENARIO_H_
