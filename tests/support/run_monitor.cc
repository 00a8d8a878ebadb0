// Breaches are noted when they happen.

#include "support/run_monitor.h"

namespace parsleyhitch::tests {

namespace {

work::unit_id GangOf(const work::task_id& task) {
  return {.job = task.job, .occurrence = task.occurrence, .step = task.step};
}

}  // namespace

void run_monitor::ListenTo(stage_worker& worker) {
  worker.spec_of = hooks_.spec_of;
  worker.work_of = hooks_.work_of;
  worker.gang_present = [this](const work::task_id& task,
                               std::uint64_t attempt) {
    return IsGangPresent(task, attempt);
  };
  worker.started = [this](const work::task_id& task) { OnStarted(task); };
  worker.ended = [this](const work::task_id& task, work::run_end_kind how) {
    OnEnded(task, how);
  };
  worker.noted = [this](const work::task_id& task, work::duration ended_at) {
    OnNoted(task, ended_at);
  };
  worker.breach = [this](const std::string& what) {
    breaches_.push_back(what);
  };
}

bool run_monitor::IsGangPresent(const work::task_id& task,
                                std::uint64_t attempt) const {
  const work::step_spec step = hooks_.spec_of(task);
  if (!step.gang)
    return true;
  std::uint32_t present = 0;
  for (const stage_worker& each : workers_) {
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
    breaches_.push_back("two runs at a time of " + job);
  started_at_[task] = hooks_.now();
  if (noted_.contains(task))
    breaches_.push_back("started again after its end of " + job);
  if (!hooks_.may_run(job))
    breaches_.push_back("started though refused: " + job);
  for (const std::uint32_t earlier : hooks_.spec_of(task).after) {
    const work::task_id first{
        .job = task.job, .occurrence = task.occurrence, .step = earlier};
    if (!done_.contains(first))
      breaches_.push_back("started out of order: " + job);
  }
}

void run_monitor::OnEnded(const work::task_id& task, work::run_end_kind how) {
  running_[task] -= 1;
  if (how == work::run_end_kind::kDone)
    done_.insert(task);
  if (hooks_.spec_of(task).gang && how != work::run_end_kind::kGangMemberEnded)
    EndGangOf(task, how);
}

void run_monitor::EndGangOf(const work::task_id& task, work::run_end_kind how) {
  for (stage_worker& each : workers_) {
    const auto running = each.running();
    for (const auto& [other, run] : running) {
      if (GangOf(other) != GangOf(task) || !each.alive)
        continue;
      if (how == work::run_end_kind::kDone)
        each.FinishWith(other);
      else
        each.Break(other);
    }
  }
}

void run_monitor::OnNoted(const work::task_id& task, work::duration ended_at) {
  noted_.insert(task);
  if (started_at_[task] > ended_at) {
    breaches_.push_back("an end was noted though its task started later: " +
                        task.job.value());
  }
}

}  // namespace parsleyhitch::tests
