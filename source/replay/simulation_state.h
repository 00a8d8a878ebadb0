// State of a running simulation, shared by the simulation_*.cc files.

#ifndef PARSLEYHITCH_REPLAY_SIMULATION_STATE_H_
#define PARSLEYHITCH_REPLAY_SIMULATION_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "replay/simulation.h"

namespace parsleyhitch::replay::detail {

using event_maker = std::function<model::event(model::timestamp)>;

// One entry. It survives restarts; each restart begins a new incarnation.
struct entry_slot {
  std::unique_ptr<scheduler::environment> environment;
  scheduler::entry_state state;
  bool alive = false;
  bool frozen = false;
  bool cut_from_log = false;
  bool cut_from_peers = false;
  std::uint64_t incarnation = 0;
  // Number of the latest timer; earlier timers are ignored.
  std::uint64_t wake_number = 0;
  model::call_number last_call = 0;
  // Call number -> index in simulation::calls.
  std::map<model::call_number, std::size_t> open_calls;
  // Events received while the entry was frozen.
  std::deque<event_maker> inbox;
};

enum class endpoint_mode { kHealthy, kSilent, kMismatched, kLate };

struct worker_slot {
  model::worker_spec spec;
  fake_worker worker;
  bool alive = true;
  bool frozen = false;
  // The VM list announces that the worker is leaving.
  bool listed_leaving = false;
  endpoint_mode endpoint = endpoint_mode::kHealthy;
  // Number of further syncs whose answer is lost.
  std::uint64_t lose_answers = 0;
  // Number of changes in `worker.journal` already processed.
  std::size_t journal_position = 0;
  // Syncs and requests received while the worker was frozen.
  std::deque<std::function<void()>> inbox;
};

// A long-polling read of the log, waiting for records.
struct pending_read {
  std::uint32_t entry = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t from = 0;
  bool answered = false;
};

// One call of the trace.
struct trace_call {
  std::string name;
  std::string body;
  std::string key;
  model::duration takes{0};
  model::timestamp arrived;
  bool is_job = false;
};

struct simulation {
  simulation(const scenario& selected_trace,
             const run_options& selected_options);

  // Clock and scheduling (simulation.cc).
  void ScheduleAt(model::timestamp when, std::function<void()> action);
  void ScheduleAfter(model::duration wait, std::function<void()> action);
  void RunUntil(model::timestamp end);
  // Latency of the next message, including jitter.
  model::duration Latency();

  // Entries (simulation.cc).
  void StartEntry(std::uint32_t entry);
  // Delivers an event to an incarnation of an entry: dropped if the incarnation
  // has ended, queued while the entry is frozen.
  void PostEvent(std::uint32_t entry,
                 std::uint64_t incarnation,
                 const event_maker& make);
  void Reduce(std::uint32_t entry, const model::event& event);
  void ObserveEntry(std::uint32_t entry);
  void RecordJobPhases(const model::ledger& ledger);
  void RecordJobPhase(const model::ledger& ledger, const model::job_id& job);
  void TakeSample();

  // Effects on the platform (simulation_platform.cc).
  void Perform(std::uint32_t entry, const model::append_batch& effect);
  void Perform(std::uint32_t entry, const model::read_log& effect);
  void Perform(std::uint32_t entry, const model::read_vm_list& effect);
  void Perform(std::uint32_t entry, const model::send_to_peer& effect);
  void Perform(std::uint32_t entry, const model::call_worker& effect);
  void Perform(std::uint32_t entry, const model::call_endpoint& effect);
  void AnswerRead(const std::shared_ptr<pending_read>& read);
  void SyncWorker(std::uint32_t entry,
                  const model::call_worker& effect,
                  bool send_answer);
  void RecordTaskChanges(worker_slot& slot);
  model::duration RemainingRunTime(const model::job_id& job) const;

  // Effects on callers, and the trace's arrivals and faults
  // (simulation_clients.cc).
  void Perform(std::uint32_t entry, const model::answer_caller& effect);
  void Perform(std::uint32_t entry, const model::wake_at& effect);
  void Perform(std::uint32_t entry, const model::write_log_line& effect);
  void Perform(std::uint32_t entry, const model::observe_request& effect);
  void Perform(std::uint32_t entry, const model::count_metric& effect);
  void Perform(std::uint32_t entry, const model::stop_process& effect);
  void HandleArrival(const job_arrival& arrival);
  void HandleArrival(const job_cancel& arrival);
  void HandleArrival(const request_arrival& arrival);
  void HandleArrival(const manifest_arrival& arrival);
  void InjectFault(const fault& fault);
  void InjectWorkerFault(const fault& fault, worker_slot& slot);

  const scenario& trace;
  const run_options& options;
  monitor run_monitor;
  run_result result;

  model::timestamp now = kRunStart;
  std::uint64_t next_action_number = 0;
  std::mt19937_64 random;
  std::map<std::pair<model::timestamp, std::uint64_t>, std::function<void()>>
      actions;

  std::vector<entry_slot> entries;
  std::map<model::worker_id, worker_slot> workers;

  fake_log<model::batch> log;
  bool log_down = false;
  model::duration log_delay{0};
  std::uint64_t lose_append_answers = 0;
  std::list<std::shared_ptr<pending_read>> pending_reads;
  bool vm_list_down = false;

  std::vector<trace_call> calls;
  std::map<std::string, model::job_id> job_by_name;
  std::map<model::job_id, std::string> name_by_job;
  // By job id: a job may run before its caller, at a frozen entry, learns its
  // id.
  std::map<model::job_id, phase_times> phases_by_job;
  std::map<std::string, model::duration> run_times;
  // Job name -> accelerators of all its members together.
  std::map<std::string, std::uint64_t> accelerators_by_name;
  std::map<model::job_id, model::duration> checkpointed_work;
  std::map<model::job_id, model::timestamp> running_since;
  model::timestamp last_sample = kRunStart;
  // Log offset from which batches have not yet been examined for job phases.
  std::uint64_t next_phase_offset = 0;
};

}  // namespace parsleyhitch::replay::detail

#endif  // PARSLEYHITCH_REPLAY_SIMULATION_STATE_H_
