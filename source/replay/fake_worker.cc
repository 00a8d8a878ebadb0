// A worker in memory.

#include "replay/fake_worker.h"

#include <set>
#include <utility>

namespace parsleyhitch::replay {

namespace {

fake_worker SetTask(fake_worker worker,
                    const model::job_id& job,
                    fake_task task,
                    model::timestamp now) {
  const fake_task* old = worker.tasks.Find(job);
  const bool news =
      old == nullptr || old->token != task.token || old->state != task.state;
  if (news) {
    worker.journal.push_back(
        {.job = job, .token = task.token, .state = task.state, .at = now});
  }
  worker.tasks.Put(job, std::move(task));
  return worker;
}

// The task is gone, whatever it did.
fake_worker Drop(fake_worker worker,
                 const model::job_id& job,
                 model::timestamp now,
                 bool checkpointed = false) {
  const fake_task* task = worker.tasks.Find(job);
  if (task == nullptr)
    return worker;
  const bool over = task->state == model::task_state::kFinished ||
                    task->state == model::task_state::kFailed;
  if (!over) {
    worker.journal.push_back({.job = job,
                              .token = task->token,
                              .state = model::task_state::kStopped,
                              .at = now,
                              .checkpointed = checkpointed});
  }
  worker.tasks.Erase(job);
  return worker;
}

std::uint32_t FreeAccelerators(const fake_worker& worker) {
  std::uint32_t used = 0;
  for (const auto& [job, task] : worker.tasks) {
    const bool active = task.state == model::task_state::kHeld ||
                        task.state == model::task_state::kRunning;
    used += active ? task.accelerators : 0;
  }
  return worker.accelerators - used;
}

fake_task With(const fake_task& task,
               model::task_state state,
               model::timestamp ends) {
  return {.token = task.token,
          .accelerators = task.accelerators,
          .state = state,
          .lease_until = task.lease_until,
          .ends = ends};
}

// What the worker answers about one instruction.
struct obeyed {
  fake_worker worker;
  model::task_state state = model::task_state::kStopped;
};

obeyed Hold(fake_worker worker,
            const model::task_instruction& order,
            model::timestamp lease_until,
            model::timestamp now) {
  if (FreeAccelerators(worker) < order.accelerators)
    return {.worker = std::move(worker), .state = model::task_state::kRefused};
  worker = SetTask(std::move(worker), order.job,
                   {.token = order.token,
                    .accelerators = order.accelerators,
                    .state = model::task_state::kHeld,
                    .lease_until = lease_until},
                   now);
  return {.worker = std::move(worker), .state = model::task_state::kHeld};
}

obeyed Run(fake_worker worker,
           const model::task_instruction& order,
           model::timestamp now,
           const run_time_of& run_time) {
  const fake_task task = *worker.tasks.Find(order.job);
  if (task.state != model::task_state::kHeld)
    return {.worker = std::move(worker), .state = task.state};
  const model::task_state state = worker.fails_tasks
                                      ? model::task_state::kFailed
                                      : model::task_state::kRunning;
  worker = SetTask(std::move(worker), order.job,
                   With(task, state, now + run_time(order.job)), now);
  return {.worker = std::move(worker), .state = state};
}

obeyed Checkpoint(fake_worker worker,
                  const model::task_instruction& order,
                  model::timestamp now) {
  const model::task_state state = worker.tasks.Find(order.job)->state;
  if (worker.ignores_checkpoints || state == model::task_state::kFinished)
    return {.worker = std::move(worker), .state = state};
  return {.worker = Drop(std::move(worker), order.job, now, true),
          .state = model::task_state::kStopped};
}

obeyed Obey(fake_worker worker,
            const model::task_instruction& order,
            model::timestamp lease_until,
            model::timestamp now,
            const run_time_of& run_time) {
  const fake_task* present = worker.tasks.Find(order.job);
  if (present != nullptr && present->token != order.token) {
    worker = Drop(std::move(worker), order.job, now);
    present = nullptr;
  }
  if (present == nullptr) {
    // Only what is held may run: a lapsed hold is not taken up again.
    if (order.order == model::task_order::kHold)
      return Hold(std::move(worker), order, lease_until, now);
    return {.worker = std::move(worker), .state = model::task_state::kStopped};
  }
  const fake_task renewed{.token = present->token,
                          .accelerators = present->accelerators,
                          .state = present->state,
                          .lease_until = lease_until,
                          .ends = present->ends};
  worker.tasks.Put(order.job, renewed);
  switch (order.order) {
    case model::task_order::kHold:
      return {.worker = std::move(worker), .state = renewed.state};
    case model::task_order::kRun:
      return Run(std::move(worker), order, now, run_time);
    case model::task_order::kCheckpoint:
      return Checkpoint(std::move(worker), order, now);
    case model::task_order::kStop:
      if (renewed.state == model::task_state::kFinished)
        return {.worker = std::move(worker), .state = renewed.state};
      return {.worker = Drop(std::move(worker), order.job, now),
              .state = model::task_state::kStopped};
  }
  return {.worker = std::move(worker)};
}

fake_worker DropUnnamed(fake_worker worker,
                        const model::worker_sync& sync,
                        model::timestamp now) {
  std::set<model::job_id> unnamed;
  for (const auto& [job, task] : worker.tasks)
    unnamed.insert(job);
  for (const model::task_instruction& order : sync.tasks)
    unnamed.erase(order.job);
  for (const model::job_id& job : unnamed)
    worker = Drop(std::move(worker), job, now);
  return worker;
}

}  // namespace

fake_worker Advance(fake_worker worker, model::timestamp now) {
  std::vector<model::job_id> lapsed;
  std::vector<model::job_id> finished;
  for (const auto& [job, task] : worker.tasks) {
    const bool running = task.state == model::task_state::kRunning;
    const bool ended =
        running && task.ends <= now && task.ends <= task.lease_until;
    if (ended)
      finished.push_back(job);
    else if (task.lease_until <= now)
      lapsed.push_back(job);
  }
  for (const model::job_id& job : finished) {
    const fake_task task = *worker.tasks.Find(job);
    worker =
        SetTask(std::move(worker), job,
                With(task, model::task_state::kFinished, task.ends), task.ends);
  }
  for (const model::job_id& job : lapsed) {
    const model::timestamp at = worker.tasks.Find(job)->lease_until;
    worker = Drop(std::move(worker), job, at);
  }
  return worker;
}

fake_sync Sync(fake_worker worker,
               const model::worker_sync& sync,
               model::timestamp now,
               const run_time_of& run_time) {
  worker = Advance(std::move(worker), now);
  const bool leaving = worker.leaving;
  if (sync.as_of < worker.highest_as_of) {
    return {.worker = std::move(worker),
            .report = {.accepted = false, .leaving = leaving}};
  }
  worker.highest_as_of = sync.as_of;
  worker = DropUnnamed(std::move(worker), sync, now);
  std::vector<model::task_report> reports;
  for (const model::task_instruction& order : sync.tasks) {
    obeyed done =
        Obey(std::move(worker), order, now + sync.lease, now, run_time);
    worker = std::move(done.worker);
    reports.push_back(
        {.job = order.job, .token = order.token, .state = done.state});
  }
  return {
      .worker = std::move(worker),
      .report = {
          .accepted = true, .leaving = leaving, .tasks = std::move(reports)}};
}

}  // namespace parsleyhitch::replay
