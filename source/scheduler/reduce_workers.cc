// The care for workers: each has one home among the entries, which sends it the
// whole of what it is to hold and run, renews its leases by that, and reports
// to the log what it says of its tasks.

#include <algorithm>
#include <utility>

#include "scheduler/job_rules.h"
#include "scheduler/reduce_parts.h"
#include "scheduler/rendezvous.h"

namespace parsleyhitch::scheduler::detail {

namespace {

// Entries that may care for the worker: those that have not given it up.
std::vector<model::entry_id> Carers(const entry_state& state,
                                    const model::worker_status& worker) {
  std::vector<model::entry_id> carers;
  for (const model::entry_id& entry : state.peers.alive) {
    if (std::ranges::count(worker.suspected_by, entry) == 0)
      carers.push_back(entry);
  }
  return carers.empty() ? state.peers.alive : carers;
}

bool IsCarer(const environment& environment,
             const entry_state& state,
             const model::worker_id& worker) {
  const model::worker_status* status = state.ledger.workers.Find(worker);
  if (status == nullptr || !IsReady(state))
    return false;
  return HomeOf(environment.behaviour, worker.value(),
                Carers(state, *status)) == environment.me;
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
      if (member == nullptr || IsOver(member->state))
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
  return SetAlarm(
      std::move(step),
      {.at = at, .kind = alarm_kind::kSyncWorker, .worker = worker});
}

step SendSync(const environment& environment,
              step step,
              const model::worker_id& worker) {
  const drive old = *step.state.workers.drives.Find(worker);
  const std::uint64_t call = step.state.workers.next_call++;
  const model::timestamp next_due =
      step.state.now + environment.limits.sync_interval;
  step.state.workers.drives.Put(worker, {.call = call,
                                         .sent_at = step.state.now,
                                         .last_ok = old.last_ok,
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

// Takes up or lays down the care for one worker. Work is spread over the
// interval by the worker's own hash, so syncs don't come in waves.
step RefreshHome(const environment& environment,
                 step step,
                 const model::worker_id& worker) {
  const bool mine = IsCarer(environment, step.state, worker);
  const drive* present = step.state.workers.drives.Find(worker);
  if (!mine) {
    step.state.workers.drives.Erase(worker);
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
  step.state.workers.drives.Put(worker,
                                {.last_ok = step.state.now, .next_due = first});
  return ScheduleSync(std::move(step), worker, first);
}

// What the worker says that the ledger does not know and this entry has not
// reported yet.
std::vector<model::task_report> News(
    const entry_state& state,
    const model::worker_id& worker,
    const std::vector<model::task_report>& reports) {
  std::vector<model::task_report> news;
  for (const model::task_report& report : reports) {
    const model::placement* placed = state.ledger.placements.Find(report.job);
    if (placed == nullptr || placed->token != report.token)
      continue;
    const model::member* member = MemberOn(*placed, worker);
    if (member == nullptr || IsOver(member->state) ||
        report.state <= member->state)
      continue;
    const reported_task* told =
        state.workers.reported.Find({.worker = worker, .job = report.job});
    const reported_task now{.token = report.token, .state = report.state};
    if (told == nullptr || *told != now)
      news.push_back(report);
  }
  return news;
}

step ReportNews(step step,
                const model::worker_id& worker,
                const std::vector<model::task_report>& reports) {
  std::vector<model::task_report> news = News(step.state, worker, reports);
  if (news.empty())
    return step;
  for (const model::task_report& each : news) {
    step.state.workers.reported.Put({.worker = worker, .job = each.job},
                                    {.token = each.token, .state = each.state});
  }
  return Append(
      std::move(step),
      model::tasks_reported{.worker = worker, .tasks = std::move(news)}, {});
}

step NoteHeard(step step, const model::worker_id& worker) {
  const model::worker_status* status = step.state.ledger.workers.Find(worker);
  if (status == nullptr || status->phase != model::worker_phase::kLost)
    return step;
  return Append(std::move(step), model::worker_heard{.worker = worker}, {});
}

// A worker that has not answered for longer than its lease runs nothing any
// more.
step SuspectIfSilent(const environment& environment,
                     step step,
                     const model::worker_id& worker) {
  const drive& drive = *step.state.workers.drives.Find(worker);
  const model::worker_status* status = step.state.ledger.workers.Find(worker);
  const bool silent =
      step.state.now - drive.last_ok >
      environment.limits.lease + environment.limits.sync_interval;
  if (!silent || status == nullptr ||
      status->phase == model::worker_phase::kLost)
    return step;
  if (std::ranges::count(status->suspected_by, environment.me) > 0)
    return step;
  constexpr std::size_t kWitnesses = 2;
  const std::size_t witnesses =
      std::min(kWitnesses, step.state.peers.alive.size());
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

// True when the event answers the sync under way; a late answer of an earlier
// one is ignored.
bool IsAwaited(const entry_state& state,
               const model::worker_id& worker,
               std::uint64_t call) {
  const drive* drive = state.workers.drives.Find(worker);
  return drive != nullptr && drive->call == call;
}

step FinishSync(const environment& environment,
                step step,
                const model::worker_id& worker,
                bool answered) {
  const drive old = *step.state.workers.drives.Find(worker);
  step.state.workers.drives.Put(
      worker, {.sent_at = old.sent_at,
               // Counted from before the sync was sent: the worker's lease
               // can't have begun earlier.
               .last_ok = answered ? old.sent_at : old.last_ok,
               .next_due = old.next_due});
  if (!answered)
    step = SuspectIfSilent(environment, std::move(step), worker);
  const bool overdue = old.next_due <= step.state.now;
  if (!overdue && !(answered && old.again))
    return step;
  return SendSync(environment, std::move(step), worker);
}

}  // namespace

step SyncSoon(const environment& environment,
              step step,
              const model::worker_id& worker) {
  const drive* present = step.state.workers.drives.Find(worker);
  if (present == nullptr)
    return step;
  if (present->call == 0)
    return SendSync(environment, std::move(step), worker);
  const drive old = *present;
  step.state.workers.drives.Put(worker, {.call = old.call,
                                         .sent_at = old.sent_at,
                                         .last_ok = old.last_ok,
                                         .next_due = old.next_due,
                                         .again = true});
  return step;
}

step SyncIfDue(const environment& environment, step step, const alarm& due) {
  const drive* present = step.state.workers.drives.Find(due.worker);
  // An alarm that a later sync has replaced is ignored.
  if (present == nullptr || present->next_due != due.at || present->call != 0)
    return step;
  return SendSync(environment, std::move(step), due.worker);
}

step RefreshHomes(const environment& environment, step step) {
  std::vector<model::worker_id> workers;
  for (const auto& [worker, status] : step.state.ledger.workers)
    workers.push_back(worker);
  for (const model::worker_id& worker : workers) {
    step = RefreshHome(environment, std::move(step), worker);
    step = RefreshEndpoint(environment, std::move(step), worker);
  }
  return step;
}

step OnWorkerChanged(const environment& environment,
                     step step,
                     const model::worker_id& worker) {
  step = RefreshHome(environment, std::move(step), worker);
  if (!step.state.ledger.workers.Contains(worker))
    step.state.peers.leaving.Erase(worker);
  return RefreshEndpoint(environment, std::move(step), worker);
}

step On(const environment& environment,
        step step,
        const model::worker_answered& event) {
  if (!IsAwaited(step.state, event.worker, event.call))
    return step;
  if (!event.report.accepted) {
    // Fenced off: another entry knows more of the log. This one reads on.
    step = Count(std::move(step), "syncs_fenced_total");
    return FinishSync(environment, std::move(step), event.worker, true);
  }
  if (event.report.leaving) {
    step = NoteLeaving(environment, std::move(step), event.worker,
                       {.told_by_endpoint = true});
  }
  step = NoteHeard(std::move(step), event.worker);
  step = ReportNews(std::move(step), event.worker, event.report.tasks);
  return FinishSync(environment, std::move(step), event.worker, true);
}

step On(const environment& environment,
        step step,
        const model::worker_unanswered& event) {
  if (!IsAwaited(step.state, event.worker, event.call))
    return step;
  step = Count(std::move(step), "syncs_unanswered_total");
  return FinishSync(environment, std::move(step), event.worker, false);
}

}  // namespace parsleyhitch::scheduler::detail
