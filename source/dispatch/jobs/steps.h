// Helpers for the parts that work on the steps and units of a job.

#ifndef PARSLEYHITCH_DISPATCH_JOBS_STEPS_H_
#define PARSLEYHITCH_DISPATCH_JOBS_STEPS_H_

#include <algorithm>
#include <cstdint>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

inline const work::submission& ContentOf(const active_job& job) {
  return *job.content.Get();
}

// The task that the unit's member runs.
inline work::task_id TaskOf(const work::unit_id& id, std::uint32_t index) {
  return {.job = id.job,
          .occurrence = id.occurrence,
          .step = id.step,
          .index = id.index + index};
}

// The number of times that the job's steps run.
inline std::uint32_t Occurrences(const active_job& job) {
  return std::max<std::uint32_t>(ContentOf(job).request.when.occurrences, 1);
}

// Calls `visit` for every existing unit of the job, in order.
template <typename Visit>
void ForUnits(const context& ctx, const work::job_id& job, Visit visit) {
  const auto& units = ctx.state.leader.units;
  for (auto at = units.LowerBound({.job = job}); at != units.end(); ++at) {
    if (at->first.job != job)
      break;
    visit(at->first, at->second);
  }
}

// Creates the waiting units of a step.
void CreateUnits(const context& ctx,
                 const work::job_id& job,
                 const step_key& key,
                 const work::step_spec& step);

// Marks steps whose units are all done as finished. Closes the job when all
// steps are finished; otherwise opens the steps that have become ready.
void FinishSteps(const context& ctx, const work::job_id& id);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_JOBS_STEPS_H_
