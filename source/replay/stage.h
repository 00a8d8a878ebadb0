// Runs a trace: several entries' reducers against small fakes of the log, the
// VM list, workers and callers, under a manual clock. One event at a time, in
// the order of time, so a trace gives the same run every time.

#ifndef PARSLEYHITCH_REPLAY_STAGE_H_
#define PARSLEYHITCH_REPLAY_STAGE_H_

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

// What became of one call of the trace.
struct call_outcome {
  const std::string name;
  const model::timestamp arrived;
  const model::timestamp answered;
  const model::answer answer;
};

// When a job first reached a phase.
using phase_times = std::map<model::job_phase, model::timestamp>;

// What a run shows.
struct run_result {
  std::vector<breach> breaches;
  std::vector<call_outcome> outcomes;
  std::map<std::string, phase_times> phases;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, std::uint64_t> runs_by_key;
  // Version -> when it was in force at the last live entry.
  std::map<std::uint64_t, model::timestamp> everywhere;
  // Last time that a worker was given new work.
  std::map<model::worker_id, model::timestamp> last_new_work;
  std::map<std::uint32_t, model::timestamp> stopped;
  // Integrals over the run, in accelerator-milliseconds.
  std::uint64_t idle_while_waiting = 0;
  std::uint64_t work_lost = 0;
  std::uint64_t preemptions = 0;
  // Sums of samples of the largest number of whole free workers in one rack.
  std::uint64_t largest_rack_sum = 0;
  std::uint64_t samples = 0;
};

// Placement policy of all entries.
enum class policy_choice { kProduct, kBaseline };

struct run_options {
  const policy_choice policy = policy_choice::kProduct;
  // Hooks of invariants that are replaced by naive ones; by the hook's name.
  const std::vector<std::string> naive{};
};

run_result RunScenario(const scenario& scenario, const run_options& options);

// The start of every run on the manual clock.
inline constexpr model::timestamp kRunStart{model::duration(1000000000)};

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_STAGE_H_
