// Breaches are recorded by the workers' callbacks.

#include "support/run_monitor.h"

namespace parsleyhitch::tests {

namespace {

work::unit_id UnitOfTask(const work::task_id& task) {
  return {.job = task.job,
          .occurrence = task.occurrence,
          .step = task.step,
          .index = task.index};
}

work::unit_id GangOf(const work::task_id& task) {
  return {.job = task.job, .occurrence = task.occurrence, .step = task.step};
}

}  // namespace

void run_monitor::Watch(simulated_worker& worker) {
  worker.spec_of = hooks_.spec_of;
  worker.duration_of = hooks_.duration_of;
  worker.is_gang_present = [this](const work::task_id& task,
                                  std::uint64_t attempt) {
    return IsGangPresent(task, attempt);
  };
  worker.on_started = [this](const work::task_id& task) { OnStarted(task); };
  worker.on_ended = [this](const work::task_id& task, work::run_end_kind how) {
    OnEnded(task, how);
  };
  worker.on_end_acknowledged = [this](const work::task_id& task,
                                      work::duration ended_at) {
    OnEndAcknowledged(task, ended_at);
  };
  worker.on_breach = [this](const std::string& what) {
    breaches_.push_back(what);
  };
}

bool run_monitor::IsGangPresent(const work::task_id& task,
                                std::uint64_t attempt) const {
  const work::step_spec step = hooks_.spec_of(task);
  if (!step.gang)
    return true;
  std::uint32_t present = 0;
  for (const simulated_worker& each : workers_) {
    for (const auto& [other, run] : each.running())
      present += GangOf(other) == GangOf(task) && run.attempt == attempt;
  }
  return present >= step.tasks;
}

void run_monitor::OnStarted(const work::task_id& task) {
  const std::string& job = task.job.value();
  ++starts_;
  running_[task] += 1;
  if (running_[task] > 1)
    breaches_.push_back("concurrent runs of a task of job " + job);
  started_at_[task] = hooks_.now();
  if (acknowledged_.contains(task))
    breaches_.push_back("task restarted after acknowledged end: " + job);
  if (!hooks_.may_run(job))
    breaches_.push_back("task started although its job was refused: " + job);
  for (const std::uint32_t earlier : hooks_.spec_of(task).after) {
    const work::task_id dependency{
        .job = task.job, .occurrence = task.occurrence, .step = earlier};
    if (!done_tasks_.contains(dependency))
      breaches_.push_back("task started before its dependencies: " + job);
  }
}

void run_monitor::OnEnded(const work::task_id& task, work::run_end_kind how) {
  running_[task] -= 1;
  if (how == work::run_end_kind::kDone)
    done_tasks_.insert(task);
  if (how == work::run_end_kind::kFailed)
    failures_[hooks_.spec_of(task).gang ? GangOf(task) : UnitOfTask(task)] += 1;
  if (hooks_.spec_of(task).gang && how != work::run_end_kind::kGangMemberEnded)
    EndGang(task, how);
}

void run_monitor::EndGang(const work::task_id& task, work::run_end_kind how) {
  for (simulated_worker& each : workers_) {
    const auto running = each.running();
    for (const auto& [other, run] : running) {
      if (GangOf(other) != GangOf(task) || !each.alive)
        continue;
      if (how == work::run_end_kind::kDone)
        each.FinishWithGang(other);
      else
        each.EndWithGang(other);
    }
  }
}

void run_monitor::OnEndAcknowledged(const work::task_id& task,
                                    work::duration ended_at) {
  acknowledged_.insert(task);
  if (started_at_[task] > ended_at) {
    breaches_.push_back("task started after the end that was acknowledged: " +
                        task.job.value());
  }
}

}  // namespace parsleyhitch::tests
