// Translates listings for the policy. Orphan tasks are left out: they are being
// stopped.

#include "dispatch/fleet/interference.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "dispatch/fleet/loads.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"

namespace parsleyhitch::dispatch {

namespace {

const work::rack_id& RackOf(const context& ctx, const work::worker_id& worker) {
  static const work::rack_id unknown;
  const worker_state* row = ctx.state.leader.workers.Find(worker);
  return row == nullptr ? unknown : row->listed().rack;
}

// True when the task may be slow because of where it runs: away from its data,
// or with others of its step on another rack.
bool MayBeRemote(const context& ctx,
                 const work::step_spec& step,
                 const unit& placed,
                 const work::worker_id& worker) {
  if (ctx.env.bounds.remote_permille <= 1000)
    return false;
  const work::rack_id& here = RackOf(ctx, worker);
  if (!step.data_rack.value().empty() && step.data_rack != here)
    return true;
  if (!step.same_rack || step.tasks <= 1)
    return false;
  // The tasks of other units are not looked up.
  return !step.gang ||
         std::ranges::any_of(placed.members, [&](const member& each) {
           return RackOf(ctx, each.worker) != here;
         });
}

bool IsComparable(const context& ctx,
                  const work::step_spec& step,
                  const unit& placed,
                  const member& one) {
  return step.estimate > duration(0) && !step.endless && !step.fills_idle &&
         !one.stopping && one.state == member_state::kRunning &&
         !MayBeRemote(ctx, step, placed, one.worker);
}

// The task as the policy sees it, if it runs where its unit is placed.
std::optional<policy::shown_task> ShownTask(const context& ctx,
                                            const work::worker_id& worker,
                                            const work::running_task& task) {
  const active_job* job = ctx.state.leader.jobs.Find(task.task.job);
  if (job == nullptr || task.task.step >= ContentOf(*job).request.steps.size())
    return {};
  const work::unit_id id = UnitOf(*job, task.task);
  const unit* placed = ctx.state.leader.units.Find(id);
  if (placed == nullptr || placed->attempt != task.attempt ||
      task.task.index - id.index >= placed->members.size())
    return {};
  const member& one = placed->members[task.task.index - id.index];
  if (one.worker != worker)
    return {};
  const work::step_spec& step = StepOf(*job, id);
  return policy::shown_task{
      .task = task.task,
      .attempt = task.attempt,
      .image = ImageOf(*job, id.step),
      .estimate = step.estimate,
      .percent = task.percent,
      .step_tasks = step.tasks,
      .comparable = IsComparable(ctx, step, *placed, one)};
}

}  // namespace

std::string ImageOf(const active_job& job, std::uint32_t step) {
  const work::submission& content = ContentOf(job);
  const std::string& named = content.request.steps[step].image;
  return named.empty() ? content.queue.value() + "#" + std::to_string(step)
                       : named;
}

std::vector<std::string> ImagesOn(const context& ctx,
                                  const work::worker_id& worker) {
  std::vector<std::string> images;
  for (const auto& [id, index] : LoadOf(ctx, worker).tasks) {
    const active_job* job = ctx.state.leader.jobs.Find(id.job);
    if (job != nullptr)
      images.push_back(ImageOf(*job, id.step));
  }
  std::ranges::sort(images);
  images.erase(std::unique(images.begin(), images.end()), images.end());
  return images;
}

void ObserveInterference(const context& ctx,
                         const work::worker_id& worker,
                         const work::worker_listing& listing) {
  policy::interference& learned = ctx.state.leader.observed.interference;
  if (ctx.limits().interference_weight_permille == 0 ||
      !policy::IsListingDue(learned, worker, ctx.now()))
    return;
  std::vector<policy::shown_task> running;
  for (const work::running_task& each : listing.running) {
    auto shown = ShownTask(ctx, worker, each);
    if (shown)
      running.push_back(*std::move(shown));
  }
  learned =
      policy::ObserveWorker(std::move(learned), worker, running, ctx.now());
}

void AdvanceInterference(const context& ctx) {
  policy::interference& learned = ctx.state.leader.observed.interference;
  if (ctx.limits().interference_weight_permille == 0) {
    learned = {};
    return;
  }
  policy::interference_step step =
      policy::AdvanceInterference(std::move(learned), ctx.now());
  learned = std::move(step.next);
  for (const policy::pair_change& each : step.changes) {
    ctx.Log(each.found ? "interference_found" : "interference_gone",
            each.pair.slowed,
            {Field("beside", each.pair.beside),
             Field("slowdown_permille",
                   std::uint64_t{each.state.slowdown_permille}),
             Field("samples", std::uint64_t{each.state.samples})});
  }
}

}  // namespace parsleyhitch::dispatch
