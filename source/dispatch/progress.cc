// Builds the records of job progress.

#include <utility>

#include "dispatch/parts.h"
#include "dispatch/steps.h"

namespace parsleyhitch::dispatch {

namespace {

bool HasStarted(const unit& each) {
  return each.attempt > 0 || each.phase == unit_phase::kDone;
}

std::vector<work::worker_id> WorkersOf(const unit& each) {
  std::vector<work::worker_id> workers;
  if (each.phase != unit_phase::kPlaced)
    return workers;
  for (const member& one : each.members)
    workers.push_back(one.worker);
  return workers;
}

work::job_progressed ProgressOf(const context& ctx,
                                const work::job_id& id,
                                const active_job& job) {
  std::vector<work::unit_progress> units;
  if (!work::IsClosed(job.phase)) {
    ForUnits(ctx, id, [&](const work::unit_id& unit_id, const unit& each) {
      if (!HasStarted(each))
        return;
      units.push_back(
          {.occurrence = unit_id.occurrence,
           .step = unit_id.step,
           .index = unit_id.index,
           .done = each.phase == unit_phase::kDone,
           .failures = each.failures,
           .attempt = each.attempt,
           .attempt_failed = each.failed_attempts.contains(each.attempt),
           .checkpoint = each.checkpoint,
           .workers = WorkersOf(each)});
    });
  }
  return {.job = id, .phase = job.phase, .units = std::move(units)};
}

}  // namespace

std::vector<work::record> TakeUnsavedProgress(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  std::vector<work::record> records;
  while (!leader.unsaved_jobs.empty() &&
         records.size() < ctx.limits().max_batch_records) {
    const work::job_id id = *leader.unsaved_jobs.begin();
    leader.unsaved_jobs.erase(leader.unsaved_jobs.begin());
    const active_job* job = leader.jobs.Find(id);
    if (job != nullptr)
      records.emplace_back(ProgressOf(ctx, id, *job));
  }
  return records;
}

}  // namespace parsleyhitch::dispatch
