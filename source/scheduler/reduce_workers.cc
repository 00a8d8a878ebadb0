// Syncs with workers. One entry is responsible for each worker: it sends the
// worker the complete list of tasks to hold and run, which also renews the
// worker's lease, and appends the task states that the worker reports to the
// log.

#include <algorithm>
#include <utility>

#include "scheduler/job_rules.h"
#include "scheduler/reduce_parts.h"
#include "scheduler/rendezvous.h"

namespace parsleyhitch::scheduler::detail {

namespace {

// Entries that may be responsible for the worker: those that don't suspect it,
// or all if every entry does.
std::vector<model::entry_id> EligibleEntries(
    const entry_state& state,
    const model::worker_status& worker) {
  std::vector<model::entry_id> eligible;
  for (const model::entry_id& entry : state.peers.alive) {
    if (std::ranges::count(worker.suspected_by, entry) == 0)
      eligible.push_back(entry);
  }
  return eligible.empty() ? state.peers.alive : eligible;
}

bool IsResponsibleForWorker(const environment& environment,
                            const entry_state& state,
                            const model::worker_id& worker) {
  const model::worker_status* status = state.ledger.workers.Find(worker);
  if (status == nullptr || !IsReady(state))
    return false;
  return ResponsibleEntry(environment.behaviour, worker.value(),
                          EligibleEntries(state, *status)) == environment.me;
}

model::task_order OrderFor(const environment& environment,
                           const entry_state& state,
                           const model::job_status& job,
                           const model::placement& placed,
                           const model::member& member) {
  const bool stopping = job.phase == model::job_phase::kStopping;
  const bool checkpointing =
      stopping && job.reason == model::stop_reason::kPreempted &&
      member.state == model::task_state::kRunning &&
      state.now - job.since < environment.limits.checkpoint_timeout;
  if (checkpointing)
    return model::task_order::kCheckpoint;
  if (stopping)
    return model::task_order::kStop;
  return environment.behaviour.may_start(placed, member)
             ? model::task_order::kRun
             : model::task_order::kHold;
}

model::worker_sync SyncFor(const environment& environment,
                           const entry_state& state,
                           const model::worker_id& worker) {
  std::vector<model::task_instruction> tasks;
  const std::set<model::job_id>* jobs =
      state.ledger.jobs_by_worker.Find(worker);
  if (jobs != nullptr) {
    for (const model::job_id& id : *jobs) {
      const model::placement& placed = *state.ledger.placements.Find(id);
      const model::member* member = MemberOn(placed, worker);
      if (member == nullptr || IsTerminalState(member->state))
        continue;
      const model::job_status& job = *state.ledger.jobs.Find(id);
      tasks.push_back(
          {.job = id,
           .token = placed.token,
           .accelerators = placed.accelerators,
           .order = OrderFor(environment, state, job, placed, *member)});
    }
  }
  return {.as_of = state.ledger.next_offset,
          .lease = environment.limits.lease,
          .tasks = std::move(tasks)};
}

step ScheduleSync(step step,
                  const model::worker_id& worker,
                  model::timestamp at) {
  return SetTimer(
      std::move(step),
      {.at = at, .kind = timer_kind::kSyncWorker, .worker = worker});
}

step SendSync(const environment& environment,
              step step,
              const model::worker_id& worker) {
  const sync_state old = *step.state.workers.sync_states.Find(worker);
  const std::uint64_t call = step.state.workers.next_call++;
  const model::timestamp next_due =
      step.state.now + environment.limits.sync_interval;
  step.state.workers.sync_states.Put(worker,
                                     {.call = call,
                                      .sent_at = step.state.now,
                                      .last_answered = old.last_answered,
                                      .next_due = next_due});
  model::worker_sync sync = SyncFor(environment, step.state, worker);
  const std::string address =
      step.state.ledger.workers.Find(worker)->spec.address;
  step = Emit(std::move(step),
              model::call_worker{.worker = worker,
                                 .address = address,
                                 .call = call,
                                 .sync = std::move(sync),
                                 .timeout = environment.limits.sync_timeout});
  return ScheduleSync(std::move(step), worker, next_due);
}

// Starts or stops syncs with a worker, depending on whether this entry is
// responsible for it. The first sync is delayed by a hash of the worker's name,
// which spreads the syncs evenly over the interval.
step StartOrStopSyncing(const environment& environment,
                        step step,
                        const model::worker_id& worker) {
  const bool responsible =
      IsResponsibleForWorker(environment, step.state, worker);
  const sync_state* present = step.state.workers.sync_states.Find(worker);
  if (!responsible) {
    step.state.workers.sync_states.Erase(worker);
    return step;
  }
  if (present != nullptr)
    return step;
  const auto interval =
      static_cast<std::uint64_t>(environment.limits.sync_interval.count());
  const std::uint64_t spread =
      environment.behaviour.hash(worker.value()) % interval;
  const model::timestamp first =
      step.state.now + model::duration(static_cast<std::int64_t>(spread));
  step.state.workers.sync_states.Put(
      worker, {.last_answered = step.state.now, .next_due = first});
  return ScheduleSync(std::move(step), worker, first);
}

// Reports that are ahead of the ledger and that this entry has not appended
// yet.
std::vector<model::task_report> NewReports(
    const entry_state& state,
    const model::worker_id& worker,
    const std::vector<model::task_report>& reports) {
  std::vector<model::task_report> new_reports;
  for (const model::task_report& report : reports) {
    const model::placement* placed = state.ledger.placements.Find(report.job);
    if (placed == nullptr || placed->token != report.token)
      continue;
    const model::member* member = MemberOn(*placed, worker);
    if (member == nullptr || IsTerminalState(member->state) ||
        report.state <= member->state)
      continue;
    const reported_task* reported =
        state.workers.reported.Find({.worker = worker, .job = report.job});
    const reported_task latest{.token = report.token, .state = report.state};
    if (reported == nullptr || *reported != latest)
      new_reports.push_back(report);
  }
  return new_reports;
}

step AppendNewReports(step step,
                      const model::worker_id& worker,
                      const std::vector<model::task_report>& reports) {
  std::vector<model::task_report> new_reports =
      NewReports(step.state, worker, reports);
  if (new_reports.empty())
    return step;
  for (const model::task_report& each : new_reports) {
    step.state.workers.reported.Put({.worker = worker, .job = each.job},
                                    {.token = each.token, .state = each.state});
  }
  return Append(
      std::move(step),
      model::tasks_reported{.worker = worker, .tasks = std::move(new_reports)},
      {});
}

step ReportHeardIfLost(step step, const model::worker_id& worker) {
  const model::worker_status* status = step.state.ledger.workers.Find(worker);
  if (status == nullptr || status->phase != model::worker_phase::kLost)
    return step;
  return Append(std::move(step), model::worker_heard{.worker = worker}, {});
}

// Appends a `worker_suspected` record if the worker has not answered a sync for
// longer than its lease. By then the lease has expired, so the worker no longer
// runs any task.
step SuspectIfSilent(const environment& environment,
                     step step,
                     const model::worker_id& worker) {
  const sync_state& sync = *step.state.workers.sync_states.Find(worker);
  const model::worker_status* status = step.state.ledger.workers.Find(worker);
  const bool silent =
      step.state.now - sync.last_answered >
      environment.limits.lease + environment.limits.sync_interval;
  if (!silent || status == nullptr ||
      status->phase == model::worker_phase::kLost)
    return step;
  if (std::ranges::count(status->suspected_by, environment.me) > 0)
    return step;
  constexpr std::size_t kRequiredWitnesses = 2;
  const std::size_t witnesses =
      std::min(kRequiredWitnesses, step.state.peers.alive.size());
  step = Count(std::move(step), "workers_suspected_total");
  step = Log(std::move(step), model::severity::kWarning, "worker is silent",
             worker.value());
  return Append(std::move(step),
                model::worker_suspected{
                    .worker = worker,
                    .by = environment.me,
                    .witnesses = static_cast<std::uint32_t>(witnesses)},
                {});
}

// True if `call` is the outstanding sync. Late answers to earlier syncs are
// ignored.
bool IsCurrentSync(const entry_state& state,
                   const model::worker_id& worker,
                   std::uint64_t call) {
  const sync_state* sync = state.workers.sync_states.Find(worker);
  return sync != nullptr && sync->call == call;
}

step FinishSync(const environment& environment,
                step step,
                const model::worker_id& worker,
                bool answered) {
  const sync_state old = *step.state.workers.sync_states.Find(worker);
  step.state.workers.sync_states.Put(
      worker, {.sent_at = old.sent_at,
               // The lease is counted from when the sync was sent, as it can't
               // have begun earlier.
               .last_answered = answered ? old.sent_at : old.last_answered,
               .next_due = old.next_due});
  if (!answered)
    step = SuspectIfSilent(environment, std::move(step), worker);
  const bool overdue = old.next_due <= step.state.now;
  if (!overdue && !(answered && old.resync_needed))
    return step;
  return SendSync(environment, std::move(step), worker);
}

}  // namespace

step RequestSync(const environment& environment,
                 step step,
                 const model::worker_id& worker) {
  const sync_state* present = step.state.workers.sync_states.Find(worker);
  if (present == nullptr)
    return step;
  if (present->call == 0)
    return SendSync(environment, std::move(step), worker);
  const sync_state old = *present;
  step.state.workers.sync_states.Put(worker,
                                     {.call = old.call,
                                      .sent_at = old.sent_at,
                                      .last_answered = old.last_answered,
                                      .next_due = old.next_due,
                                      .resync_needed = true});
  return step;
}

step SyncIfDue(const environment& environment, step step, const timer& due) {
  const sync_state* present = step.state.workers.sync_states.Find(due.worker);
  // Ignore a timer that a later sync has superseded.
  if (present == nullptr || present->next_due != due.at || present->call != 0)
    return step;
  return SendSync(environment, std::move(step), due.worker);
}

step RefreshWorkers(const environment& environment, step step) {
  std::vector<model::worker_id> workers;
  for (const auto& [worker, status] : step.state.ledger.workers)
    workers.push_back(worker);
  for (const model::worker_id& worker : workers) {
    step = StartOrStopSyncing(environment, std::move(step), worker);
    step = RefreshEndpoint(environment, std::move(step), worker);
  }
  return step;
}

step OnWorkerChanged(const environment& environment,
                     step step,
                     const model::worker_id& worker) {
  step = StartOrStopSyncing(environment, std::move(step), worker);
  if (!step.state.ledger.workers.Contains(worker))
    step.state.peers.leaving.Erase(worker);
  return RefreshEndpoint(environment, std::move(step), worker);
}

step On(const environment& environment,
        step step,
        const model::worker_answered& event) {
  if (!IsCurrentSync(step.state, event.worker, event.call))
    return step;
  if (!event.report.accepted) {
    // The worker has been synced by an entry that has read further in the log.
    // This entry will catch up by reading on.
    step = Count(std::move(step), "syncs_fenced_total");
    return FinishSync(environment, std::move(step), event.worker, true);
  }
  if (event.report.leaving) {
    step = RecordLeaving(environment, std::move(step), event.worker,
                         {.reported_by_endpoint = true});
  }
  step = ReportHeardIfLost(std::move(step), event.worker);
  step = AppendNewReports(std::move(step), event.worker, event.report.tasks);
  return FinishSync(environment, std::move(step), event.worker, true);
}

step On(const environment& environment,
        step step,
        const model::worker_unanswered& event) {
  if (!IsCurrentSync(step.state, event.worker, event.call))
    return step;
  step = Count(std::move(step), "syncs_unanswered_total");
  return FinishSync(environment, std::move(step), event.worker, false);
}

}  // namespace parsleyhitch::scheduler::detail
