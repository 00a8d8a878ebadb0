// The working parts of a run, shared by the files of the stage.

#ifndef PARSLEYHITCH_REPLAY_STAGE_STATE_H_
#define PARSLEYHITCH_REPLAY_STAGE_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "replay/stage.h"

namespace parsleyhitch::replay::detail {

using event_maker = std::function<model::event(model::timestamp)>;

// One entry's place; an incarnation runs in it while it is alive.
struct entry_slot {
  std::unique_ptr<scheduler::environment> environment;
  scheduler::entry_state state;
  bool alive = false;
  bool frozen = false;
  bool cut_from_log = false;
  bool cut_from_peers = false;
  std::uint64_t incarnation = 0;
  std::uint64_t wake = 0;
  model::call_number last_call = 0;
  std::map<model::call_number, std::size_t> open_calls;
  // Events that came while the entry was frozen.
  std::deque<event_maker> inbox;
};

enum class endpoint_mode { kWell, kSilent, kCrossed, kLate };

struct worker_slot {
  model::worker_spec spec;
  fake_worker worker;
  bool alive = true;
  bool frozen = false;
  bool listed_leaving = false;
  endpoint_mode endpoint = endpoint_mode::kWell;
  std::uint64_t lose_answers = 0;
  std::size_t journal_seen = 0;
  // Syncs that came while the worker was frozen.
  std::deque<std::function<void()>> inbox;
};

struct parked_read {
  std::uint32_t entry = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t from = 0;
  bool answered = false;
};

// One call of the trace.
struct traced_call {
  std::string name;
  std::string body;
  std::string key;
  model::duration takes{0};
  model::timestamp arrived;
  bool is_job = false;
};

struct stage {
  stage(const scenario& traced, const run_options& chosen);

  // Time.
  void At(model::timestamp when, std::function<void()> action);
  void After(model::duration wait, std::function<void()> action);
  void RunUntil(model::timestamp end);
  // The time that a message takes.
  model::duration Latency();

  // Entries (stage.cc).
  void StartEntry(std::uint32_t entry);
  void Post(std::uint32_t entry,
            std::uint64_t incarnation,
            const event_maker& make);
  void Reduce(std::uint32_t entry, const model::event& event);
  void Observe(std::uint32_t entry);
  void NotePhases(const model::ledger& ledger);
  void NotePhase(const model::ledger& ledger, const model::job_id& job);
  void Sample();

  // Effects on the platform (stage_platform.cc).
  void Perform(std::uint32_t entry, const model::append_batch& effect);
  void Perform(std::uint32_t entry, const model::read_log& effect);
  void Perform(std::uint32_t entry, const model::read_vm_list& effect);
  void Perform(std::uint32_t entry, const model::send_to_peer& effect);
  void Perform(std::uint32_t entry, const model::call_worker& effect);
  void Perform(std::uint32_t entry, const model::call_endpoint& effect);
  void AnswerRead(const std::shared_ptr<parked_read>& read);
  void SyncWorker(std::uint32_t entry,
                  const model::call_worker& effect,
                  bool answers);
  void SeeWorker(worker_slot& worker);
  model::duration RemainingOf(const model::job_id& job) const;

  // Effects on callers, and the trace's arrivals and faults (stage_clients.cc).
  void Perform(std::uint32_t entry, const model::answer_caller& effect);
  void Perform(std::uint32_t entry, const model::wake_at& effect);
  void Perform(std::uint32_t entry, const model::write_log_line& effect);
  void Perform(std::uint32_t entry, const model::observe_request& effect);
  void Perform(std::uint32_t entry, const model::count_metric& effect);
  void Perform(std::uint32_t entry, const model::stop_process& effect);
  void Arrive(const job_arrival& arrival);
  void Arrive(const job_cancel& arrival);
  void Arrive(const request_arrival& arrival);
  void Arrive(const manifest_arrival& arrival);
  void Inflict(const fault& fault);
  void InflictOnWorker(const fault& fault, worker_slot& worker);

  const scenario& trace;
  const run_options& options;
  monitor watch;
  run_result result;

  model::timestamp now = kRunStart;
  std::uint64_t next_action = 0;
  std::mt19937_64 random;
  std::map<std::pair<model::timestamp, std::uint64_t>, std::function<void()>>
      actions;

  std::vector<entry_slot> entries;
  std::map<model::worker_id, worker_slot> workers;

  fake_log<model::batch> log;
  bool log_down = false;
  model::duration log_delay{0};
  std::uint64_t lose_append_answers = 0;
  std::list<std::shared_ptr<parked_read>> parked;
  bool vm_list_down = false;

  std::vector<traced_call> calls;
  std::map<std::string, model::job_id> jobs_by_name;
  std::map<model::job_id, std::string> names_by_job;
  // A job may run before its caller, at a frozen entry, is told its name.
  std::map<model::job_id, phase_times> phases_by_job;
  std::map<std::string, model::duration> run_times;
  // Accelerators of all members together.
  std::map<std::string, std::uint64_t> sizes;
  std::map<model::job_id, model::duration> work_saved;
  std::map<model::job_id, model::timestamp> running_since;
  model::timestamp last_sample = kRunStart;
  // Batches up to here have been looked at for phases of jobs.
  std::uint64_t phases_upto = 0;
};

}  // namespace parsleyhitch::replay::detail

#endif  // PARSLEYHITCH_REPLAY_STAGE_STATE_H_
