// Simulates a trace: the reducers of several entries run against fakes of the
// log, the VM list, workers and callers, under a manual clock. Events are
// processed one at a time in order of time, so a trace always gives the same
// run.

#ifndef PARSLEYHITCH_REPLAY_SIMULATION_H_
#define PARSLEYHITCH_REPLAY_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "model/effect.h"
#include "model/event.h"
#include "replay/fake_log.h"
#include "replay/fake_worker.h"
#include "replay/monitor.h"
#include "replay/scenario.h"
#include "scheduler/reduce.h"

namespace parsleyhitch::replay {

// The result of one call of the trace.
struct call_outcome {
  const std::string name;
  const model::timestamp arrived;
  const model::timestamp answered;
  const model::answer answer;
};

// When a job first reached each phase.
using phase_times = std::map<model::job_phase, model::timestamp>;

// Observations collected during a run.
struct run_result {
  std::vector<breach> breaches;
  std::vector<call_outcome> outcomes;
  std::map<std::string, phase_times> phases;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, std::uint64_t> runs_by_key;
  // Manifest version -> when it was in force at all live entries.
  std::map<std::uint64_t, model::timestamp> in_force_everywhere;
  // When each worker last received new work.
  std::map<model::worker_id, model::timestamp> last_new_work;
  // When each drained entry stopped.
  std::map<std::uint32_t, model::timestamp> stopped;
  // Accelerator-milliseconds that were idle while jobs waited, and that tasks
  // lost because they stopped without a checkpoint.
  std::uint64_t idle_while_waiting = 0;
  std::uint64_t work_lost = 0;
  std::uint64_t preemptions = 0;
  // Sum over `samples` of the largest number of entirely free workers in one
  // rack.
  std::uint64_t largest_rack_sum = 0;
  std::uint64_t samples = 0;
};

// Policy that all entries use.
enum class policy_choice { kProduct, kBaseline };

struct run_options {
  const policy_choice policy = policy_choice::kProduct;
  // Names of the invariant hooks to replace by naive ones (naive.h).
  const std::vector<std::string> naive{};
};

run_result RunScenario(const scenario& scenario, const run_options& options);

// Time on the manual clock at which every run starts.
inline constexpr model::timestamp kRunStart{model::duration(1000000000)};

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_SIMULATION_H_
