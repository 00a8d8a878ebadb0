// A trace in memory: setup, arrivals, faults and expected outcomes. All times
// are relative to the start of the run.

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

// Identical workers, named "<prefix>-<number>" from 0; racks are filled in
// order.
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
  // One-way latency between any two processes.
  const model::duration latency{1};
  // Upper bound of the random delay added to each message; with it messages can
  // arrive out of order.
  const model::duration jitter{0};
  const model::duration vm_list_lag{0};
  // End of the run.
  const model::duration until{0};
  const std::vector<worker_group> workers{};
  // Published as the first version once the workers are registered.
  const model::manifest manifest{};
  const model::limits limits{};
  bool operator==(const setup&) const = default;
};

struct job_arrival {
  const model::duration at{0};
  const std::uint32_t entry = 0;
  const std::string name;
  const model::job_spec spec{};
  // Actual run time, as opposed to the declared one.
  const model::duration runs{0};
  bool operator==(const job_arrival&) const = default;
};

struct job_cancel {
  const model::duration at{0};
  const std::uint32_t entry = 0;
  // Name of the job arrival to cancel.
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
  // Deadline relative to the arrival; 0 for the service's default.
  const model::duration within{0};
  const std::string body;
  // Processing time at the endpoint.
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
  kLogSlow,            // number: milliseconds added to each response
  kLoseAppendAnswers,  // number: appends that succeed without an answer
  kTrimLog,            // number: batches to retain
  kVmListDown,
  kVmListUp,
  kKillWorker,
  kStartWorker,
  kFreezeWorker,
  kThawWorker,
  kLoseWorkerAnswers,  // number: syncs that are applied but not answered
  kFailTasks,
  kMendTasks,
  kIgnoreCheckpoints,
  kLeaveListed,      // announced in the VM list
  kLeaveTold,        // announced by the worker and its endpoint
  kEndpointSilent,   // runs requests but does not answer
  kEndpointCrossed,  // sends another attempt's answer first
  kEndpointLate,     // answers after the deadline
  kEndpointWell,
};

struct fault {
  const model::duration at{0};
  const fault_kind kind = fault_kind::kLogDown;
  const std::uint32_t entry = 0;
  // A worker's name, or a prefix followed by "*" for all workers matching it.
  const std::string worker;
  const std::uint64_t number = 0;
  bool operator==(const fault&) const = default;
};

enum class expected_kind {
  kJobPhase,  // job `subject` reaches phase `value` within `within` of its
              // arrival
  kAnswer,  // `subject` is answered `value`: an answer's kind, or its run state
  kRuns,    // requests with key `subject` ran exactly `number` times
  kRunsAtMost,
  kVersion,   // `number` is in force at all live entries by `by`
  kQuiet,     // worker `subject` gets no new work after `by`
  kStopped,   // entry `number` has stopped by `by`
  kCount,     // counter `subject`, over all entries, is at least `number`
  kNoneLate,  // every request to service `subject` is answered in full
};

// One expected outcome. In addition, every trace requires that no invariant is
// violated.
struct expectation {
  const expected_kind kind = expected_kind::kAnswer;
  const std::string subject;
  const std::string value;
  const std::uint64_t number = 0;
  const model::duration within{0};
  const model::duration by{0};
  bool operator==(const expectation&) const = default;
};

// Expands to the setup, arrivals and faults generated from a seed (workload.h).
// `name` is "coop" or "blue-mahoe".
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
  // Name of the generated workload, or empty.
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
