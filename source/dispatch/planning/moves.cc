// A unit is stopped and waits like any other; the worker that it leaves is
// avoided meanwhile, so that it is placed elsewhere. No second copy is started:
// no task may run twice at a time.

#include "dispatch/planning/moves.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/fleet/loads.h"
#include "dispatch/fleet/losses.h"
#include "dispatch/fleet/speeds.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/names.h"
#include "dispatch/orders/orders.h"
#include "dispatch/planning/demands.h"
#include "dispatch/planning/run_time.h"

namespace parsleyhitch::dispatch {

namespace {

// How many units are on the move at a time. A wrong judgement so costs little.
constexpr std::size_t kMaxMoving = 4;

// Between two searches for moves, which look through all that waits and runs
// while there is one.
constexpr duration kMovePause{500};

// From the end of a stopped unit until it runs elsewhere.
constexpr duration kRestartTime{500};

struct move {
  work::unit_id unit;
  work::worker_id worker;
  policy::run_on_slow_worker run;

  duration Gain() const { return run.remaining - run.elsewhere; }
};

// Run time on a usual worker until the unit ends, its stop included.
duration RunTimeElsewhere(const context& ctx,
                          const unit& each,
                          const work::step_spec& step,
                          const task_pace& pace) {
  constexpr std::int64_t kAllPercent = 100;
  const work::platform_bounds& bounds = ctx.env.bounds;
  const duration restarted = bounds.task_stop + kRestartTime;
  if (!step.checkpointed || each.checkpoint.empty())
    return restarted + pace.expected;
  const std::int64_t percent_left =
      std::max<std::int64_t>(kAllPercent - pace.window.progressed.percent, 0);
  const duration left = pace.expected * percent_left / kAllPercent;
  return restarted + bounds.checkpoint_restore +
         std::min(left + bounds.checkpoint_interval, pace.expected);
}

// Of a first step; later ones begin when those before have ended.
duration UntilLate(const context& ctx,
                   const work::submission& content,
                   const work::step_spec& step) {
  if (!step.after.empty())
    return duration(-1);
  const duration objective =
      step.estimate * content.stretch_permille / 1000 + content.target_latency;
  return objective - (ctx.now() - content.submitted_at);
}

// The move of the unit off the worker, if it is worth it.
std::optional<move> MoveOf(const context& ctx,
                           const work::worker_id& worker,
                           const work::unit_id& id,
                           std::uint32_t index,
                           bool hung) {
  const leader_state& leader = ctx.state.leader;
  const unit* each = leader.units.Find(id);
  const active_job* job = leader.jobs.Find(id.job);
  if (each == nullptr || job == nullptr || each->phase != unit_phase::kPlaced ||
      index >= each->members.size() || work::IsClosed(job->phase))
    return {};
  const work::task_id task = TaskOf(id, index);
  const task_pace* pace = leader.observed.paces.Find(task);
  const task_observation* seen = leader.observed.tasks.Find(task);
  const bool observed = pace != nullptr && seen != nullptr &&
                        pace->attempt == each->attempt &&
                        seen->attempt == each->attempt;
  const bool movable = std::ranges::none_of(
      each->members, [](const member& one) { return one.stopping; });
  const work::step_spec& step = StepOf(*job, id);
  if (!observed || !movable || step.endless ||
      (hung && !policy::StandsStill(pace->window, pace->expected)))
    return {};
  const duration remaining =
      hung ? policy::RemainingOfStalled(pace->window, pace->expected)
           : policy::ExpectedRemaining(seen->progress, ctx.now());
  const move found{
      .unit = id,
      .worker = worker,
      .run = {.remaining = remaining,
              .elsewhere = RunTimeElsewhere(ctx, *each, step, *pace),
              .until_late = UntilLate(ctx, ContentOf(*job), step)}};
  return policy::IsWorthMoving(found.run) ? std::optional(found) : std::nullopt;
}

// Those with the largest gain first.
std::vector<move> FindMoves(const context& ctx) {
  const leader_state& leader = ctx.state.leader;
  std::vector<move> found;
  for (const auto& [worker, judged] : leader.observed.judgements) {
    const worker_state* row = leader.workers.Find(worker);
    const bool hung = ctx.now() < judged.hung_until;
    if (row == nullptr || row->listed().life != judged.life ||
        (!hung && !judged.speed.slow))
      continue;
    for (const auto& [id, index] : LoadOf(ctx, worker).tasks) {
      if (auto each = MoveOf(ctx, worker, id, index, hung))
        found.push_back(std::move(*each));
    }
  }
  std::ranges::sort(found, [](const move& a, const move& b) {
    return std::pair(b.Gain(), a.unit) < std::pair(a.Gain(), b.unit);
  });
  return found;
}

// Forgets units that no longer run where they were stopped.
void ForgetMoved(const context& ctx) {
  std::erase_if(ctx.state.leader.observed.moving, [&](const work::unit_id& id) {
    const unit* each = ctx.state.leader.units.Find(id);
    return each == nullptr ||
           std::ranges::none_of(each->members, [](const member& one) {
             return one.stopping && one.state != member_state::kEnded;
           });
  });
}

class moving_pass {
 public:
  explicit moving_pass(const context& ctx)
      : ctx_(ctx),
        ranked_(RankJobs(ctx)),
        capacity_(FreeCapacity(ctx, QuarantineOf(ctx))),
        run_time_(RelativeRunTime(ctx)) {}

  void Consider(const move& each) {
    if (ctx_.state.leader.observed.moving.contains(each.unit))
      return;
    const placement::demand demand = DemandOf(ctx_, Restarted(each.unit), {});
    const auto workers = placement::FindPlacement(capacity_, demand, run_time_);
    if (!workers)
      return;
    for (const work::worker_id& worker : *workers)
      capacity_.Take(worker, demand.need);
    ctx_.Log("unit_moved", NameOf(each.unit),
             {Field("worker", each.worker.value()),
              Field("remaining", each.run.remaining),
              Field("elsewhere", each.run.elsewhere)});
    ctx_.Count("units_moved");
    ctx_.state.leader.observed.moving.insert(each.unit);
    StopUnit(ctx_, each.unit, "worker slow");
  }

 private:
  // The unit as it will wait once it has been stopped.
  waiting_unit Restarted(const work::unit_id& id) const {
    const active_job& job = *ctx_.state.leader.jobs.Find(id.job);
    const work::step_spec& step = StepOf(job, id);
    return {.unit = id,
            .importance = ranked_.at(id.job),
            .accepted = job.accepted,
            .members = MembersOf(step),
            .accelerators = step.need.accelerators,
            .waited = ctx_.now() - ContentOf(job).submitted_at};
  }

  const context& ctx_;
  const job_ranks ranked_;
  placement::capacity_map capacity_;
  const placement::run_time_function run_time_;
};

}  // namespace

void MoveFromSlowWorkers(const context& ctx) {
  observations& observed = ctx.state.leader.observed;
  if (observed.judgements.empty() || ctx.now() < observed.next_move_at)
    return;
  observed.next_move_at = ctx.now() + kMovePause;
  ForgetMoved(ctx);
  const std::vector<move> moves = FindMoves(ctx);
  if (moves.empty())
    return;
  moving_pass pass(ctx);
  for (const move& each : moves) {
    if (observed.moving.size() >= kMaxMoving)
      return;
    pass.Consider(each);
  }
}

}  // namespace parsleyhitch::dispatch
