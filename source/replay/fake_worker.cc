// Applies sync instructions and lease expiry to the tasks of an in-memory
// worker. All functions take the worker by value and return the changed one.

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
  const bool changed =
      old == nullptr || old->token != task.token || old->state != task.state;
  if (changed) {
    worker.journal.push_back(
        {.job = job, .token = task.token, .state = task.state, .at = now});
  }
  worker.tasks.Put(job, std::move(task));
  return worker;
}

// Removes the task in any state. Unless it had already finished or failed, it
// is recorded as stopped.
fake_worker RemoveTask(fake_worker worker,
                       const model::job_id& job,
                       model::timestamp now,
                       bool checkpointed = false) {
  const fake_task* task = worker.tasks.Find(job);
  if (task == nullptr)
    return worker;
  const bool ended = task->state == model::task_state::kFinished ||
                     task->state == model::task_state::kFailed;
  if (!ended) {
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

fake_task WithState(const fake_task& task,
                    model::task_state state,
                    model::timestamp ends) {
  return {.token = task.token,
          .accelerators = task.accelerators,
          .state = state,
          .lease_until = task.lease_until,
          .ends = ends};
}

// The worker after one instruction, and the task state it reports.
struct instruction_result {
  fake_worker worker;
  model::task_state state = model::task_state::kStopped;
};

instruction_result Hold(fake_worker worker,
                        const model::task_instruction& instruction,
                        model::timestamp lease_until,
                        model::timestamp now) {
  if (FreeAccelerators(worker) < instruction.accelerators)
    return {.worker = std::move(worker), .state = model::task_state::kRefused};
  worker = SetTask(std::move(worker), instruction.job,
                   {.token = instruction.token,
                    .accelerators = instruction.accelerators,
                    .state = model::task_state::kHeld,
                    .lease_until = lease_until},
                   now);
  return {.worker = std::move(worker), .state = model::task_state::kHeld};
}

instruction_result Run(fake_worker worker,
                       const model::task_instruction& instruction,
                       model::timestamp now,
                       const run_time_lookup& run_time) {
  const fake_task task = *worker.tasks.Find(instruction.job);
  if (task.state != model::task_state::kHeld)
    return {.worker = std::move(worker), .state = task.state};
  const model::task_state state = worker.fails_tasks
                                      ? model::task_state::kFailed
                                      : model::task_state::kRunning;
  worker =
      SetTask(std::move(worker), instruction.job,
              WithState(task, state, now + run_time(instruction.job)), now);
  return {.worker = std::move(worker), .state = state};
}

instruction_result Checkpoint(fake_worker worker,
                              const model::task_instruction& instruction,
                              model::timestamp now) {
  const model::task_state state = worker.tasks.Find(instruction.job)->state;
  if (worker.ignores_checkpoints || state == model::task_state::kFinished)
    return {.worker = std::move(worker), .state = state};
  return {.worker = RemoveTask(std::move(worker), instruction.job, now, true),
          .state = model::task_state::kStopped};
}

instruction_result ApplyInstruction(fake_worker worker,
                                    const model::task_instruction& instruction,
                                    model::timestamp lease_until,
                                    model::timestamp now,
                                    const run_time_lookup& run_time) {
  const fake_task* current = worker.tasks.Find(instruction.job);
  if (current != nullptr && current->token != instruction.token) {
    worker = RemoveTask(std::move(worker), instruction.job, now);
    current = nullptr;
  }
  if (current == nullptr) {
    // Only a held task may run; a hold whose lease expired is not restored by a
    // later run instruction.
    if (instruction.order == model::task_order::kHold)
      return Hold(std::move(worker), instruction, lease_until, now);
    return {.worker = std::move(worker), .state = model::task_state::kStopped};
  }
  const fake_task renewed{.token = current->token,
                          .accelerators = current->accelerators,
                          .state = current->state,
                          .lease_until = lease_until,
                          .ends = current->ends};
  worker.tasks.Put(instruction.job, renewed);
  switch (instruction.order) {
    case model::task_order::kHold:
      return {.worker = std::move(worker), .state = renewed.state};
    case model::task_order::kRun:
      return Run(std::move(worker), instruction, now, run_time);
    case model::task_order::kCheckpoint:
      return Checkpoint(std::move(worker), instruction, now);
    case model::task_order::kStop:
      if (renewed.state == model::task_state::kFinished)
        return {.worker = std::move(worker), .state = renewed.state};
      return {.worker = RemoveTask(std::move(worker), instruction.job, now),
              .state = model::task_state::kStopped};
  }
  return {.worker = std::move(worker)};
}

fake_worker RemoveUnlistedTasks(fake_worker worker,
                                const model::worker_sync& sync,
                                model::timestamp now) {
  std::set<model::job_id> unlisted;
  for (const auto& [job, task] : worker.tasks)
    unlisted.insert(job);
  for (const model::task_instruction& instruction : sync.tasks)
    unlisted.erase(instruction.job);
  for (const model::job_id& job : unlisted)
    worker = RemoveTask(std::move(worker), job, now);
  return worker;
}

}  // namespace

fake_worker Advance(fake_worker worker, model::timestamp now) {
  std::vector<model::job_id> expired;
  std::vector<model::job_id> finished;
  for (const auto& [job, task] : worker.tasks) {
    const bool running = task.state == model::task_state::kRunning;
    const bool ended =
        running && task.ends <= now && task.ends <= task.lease_until;
    if (ended)
      finished.push_back(job);
    else if (task.lease_until <= now)
      expired.push_back(job);
  }
  for (const model::job_id& job : finished) {
    const fake_task task = *worker.tasks.Find(job);
    worker = SetTask(std::move(worker), job,
                     WithState(task, model::task_state::kFinished, task.ends),
                     task.ends);
  }
  for (const model::job_id& job : expired) {
    const model::timestamp at = worker.tasks.Find(job)->lease_until;
    worker = RemoveTask(std::move(worker), job, at);
  }
  return worker;
}

fake_sync_result Sync(fake_worker worker,
                      const model::worker_sync& sync,
                      model::timestamp now,
                      const run_time_lookup& run_time) {
  worker = Advance(std::move(worker), now);
  const bool leaving = worker.leaving;
  if (sync.as_of < worker.highest_as_of) {
    return {.worker = std::move(worker),
            .report = {.accepted = false, .leaving = leaving}};
  }
  worker.highest_as_of = sync.as_of;
  worker = RemoveUnlistedTasks(std::move(worker), sync, now);
  std::vector<model::task_report> reports;
  for (const model::task_instruction& instruction : sync.tasks) {
    instruction_result applied = ApplyInstruction(
        std::move(worker), instruction, now + sync.lease, now, run_time);
    worker = std::move(applied.worker);
    reports.push_back({.job = instruction.job,
                       .token = instruction.token,
                       .state = applied.state});
  }
  return {
      .worker = std::move(worker),
      .report = {
          .accepted = true, .leaving = leaving, .tasks = std::move(reports)}};
}

}  // namespace parsleyhitch::replay
