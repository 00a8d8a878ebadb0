// Jobs and their steps.

#ifndef PARSLEYHITCH_DISPATCH_JOBS_JOBS_H_
#define PARSLEYHITCH_DISPATCH_JOBS_JOBS_H_

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// jobs.cc: jobs and their steps.
// Handles a record of the job that was applied to the ledger.
void OnJobRecord(const context& ctx, const work::job_id& job);
void OpenDueSteps(const context& ctx);
// Creates the units of the unit's step if they don't exist: an earlier leader
// may have opened the step without storing a record of it.
void EnsureStepOpened(const context& ctx, const work::unit_id& id);
// True when all steps that the unit's step depends on are finished.
bool MayStart(const active_job& job, const work::unit_id& id);
void FinishUnit(const context& ctx, const work::unit_id& id);
// Called with each evidence that a task of the job runs or has run: only then
// the job has begun. That it was placed, or ordered to start, shows nothing.
void MarkJobStarted(const context& ctx, const work::job_id& job);
void CloseJob(const context& ctx,
              const work::job_id& job,
              work::job_phase phase);
// Erases a unit of a closed job once all of its members have ended.
void EraseUnitIfEnded(const context& ctx, const work::unit_id& id);
const work::step_spec& StepOf(const active_job& job, const work::unit_id& id);
std::uint32_t MembersOf(const work::step_spec& step);
work::unit_id UnitOf(const active_job& job, const work::task_id& task);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_JOBS_JOBS_H_
