// Only tasks whose pace the worker alone sets are evidence of its speed: those
// of gangs may go at the pace of the slowest, and those away from their data or
// spread over racks are slowed down by that.

#include "dispatch/fleet/speeds.h"

#include <map>
#include <string>
#include <utility>

namespace parsleyhitch::dispatch {

namespace {

// Between two evaluations of all workers: well below the time after which a
// task counts as standing still.
constexpr duration kJudgementPause{500};

// How long a worker is avoided after its tasks were last seen to stand still.
// It gets no tasks that would show that it has recovered.
constexpr duration kHungPause{20000};

// The listed workers of a service by their lives, and the tasks on them.
struct service_workers {
  std::map<work::worker_id, std::uint64_t> lives;
  std::map<work::worker_id, policy::task_counts> tasks;
};

std::map<work::service_id, service_workers> WorkersByService(
    const context& ctx) {
  std::map<work::service_id, service_workers> found;
  const leader_state& leader = ctx.state.leader;
  for (const auto& [worker, row] : leader.workers) {
    if (row.entry.Get() != nullptr)
      found[row.listed().service].lives[worker] = row.listed().life;
  }
  for (const auto& [task, pace] : leader.observed.paces) {
    const worker_state* row = leader.workers.Find(pace.worker);
    if (!pace.shows_speed || row == nullptr)
      continue;
    policy::task_counts& counts =
        found[row->listed().service].tasks[pace.worker];
    counts.tasks += 1;
    if (policy::StandsStill(pace.window, pace.expected))
      counts.standing_still += 1;
  }
  return found;
}

// True when tasks progress on the worker, which so hangs no longer.
bool Progresses(const service_workers& all, const work::worker_id& worker) {
  const auto found = all.tasks.find(worker);
  return found != all.tasks.end() &&
         found->second.standing_still < found->second.tasks;
}

std::map<work::worker_id, worker_judgement> Judge(const context& ctx) {
  const observations& observed = ctx.state.leader.observed;
  std::map<work::worker_id, worker_judgement> next;
  for (const auto& [service, all] : WorkersByService(ctx)) {
    for (const auto& [worker, speed] :
         policy::RelativeSpeeds(observed.speeds, all.lives, ctx.now()))
      next[worker] = {.life = all.lives.at(worker), .speed = speed};
    for (const auto& [worker, before] : observed.judgements) {
      const auto life = all.lives.find(worker);
      const bool still_hung =
          life != all.lives.end() && life->second == before.life &&
          ctx.now() < before.hung_until && !Progresses(all, worker);
      if (!still_hung)
        continue;
      next[worker].life = before.life;
      next[worker].hung_until = before.hung_until;
    }
    for (const work::worker_id& worker : policy::HungWorkers(all.tasks)) {
      const auto life = all.lives.find(worker);
      if (life == all.lives.end())
        continue;
      next[worker].life = life->second;
      next[worker].hung_until = ctx.now() + kHungPause;
    }
  }
  return next;
}

enum class worker_pace { kUsual, kSlow, kHung };

worker_pace PaceOf(const std::map<work::worker_id, worker_judgement>& all,
                   const work::worker_id& worker,
                   timestamp now) {
  const auto found = all.find(worker);
  if (found == all.end())
    return worker_pace::kUsual;
  if (now < found->second.hung_until)
    return worker_pace::kHung;
  return found->second.speed.slow ? worker_pace::kSlow : worker_pace::kUsual;
}

void LogChange(const context& ctx,
               const work::worker_id& worker,
               const worker_judgement& judged,
               worker_pace pace) {
  if (pace == worker_pace::kUsual) {
    ctx.Log("worker_usual", worker.value());
    return;
  }
  const bool hung = pace == worker_pace::kHung;
  ctx.Warn("worker_slow", worker.value(),
           {Field("why", std::string(hung ? "tasks stand still" : "pace")),
            Field("run_time_permille",
                  std::uint64_t{judged.speed.run_time_permille})});
  ctx.Count(hung ? "workers_hung" : "workers_slow");
}

void LogChanges(const context& ctx,
                const std::map<work::worker_id, worker_judgement>& before,
                const std::map<work::worker_id, worker_judgement>& next,
                timestamp judged_before) {
  for (const auto& [worker, judged] : next) {
    const worker_pace pace = PaceOf(next, worker, ctx.now());
    if (pace != PaceOf(before, worker, judged_before))
      LogChange(ctx, worker, judged, pace);
  }
  for (const auto& [worker, judged] : before) {
    const bool usual_again =
        !next.contains(worker) &&
        PaceOf(before, worker, judged_before) != worker_pace::kUsual;
    if (usual_again)
      LogChange(ctx, worker, judged, worker_pace::kUsual);
  }
}

}  // namespace

void ObserveSpeed(const context& ctx,
                  const work::worker_id& worker,
                  const work::running_task& task,
                  const work::step_spec& step) {
  const worker_state* row = ctx.state.leader.workers.Find(worker);
  if (row == nullptr || step.endless || step.estimate <= duration(0))
    return;
  const bool away =
      !step.data_rack.value().empty() && step.data_rack != row->listed().rack;
  const bool slowed = away || step.same_rack;
  observations& observed = ctx.state.leader.observed;
  observed = ObservePace(
      std::move(observed), task,
      {.worker = worker,
       .attempt = task.attempt,
       .expected = slowed
                       ? step.estimate * ctx.env.bounds.remote_permille / 1000
                       : step.estimate,
       .shows_speed = !slowed && !step.gang && !step.fills_idle},
      row->listed().life,
      {.job = task.task.job,
       .occurrence = task.task.occurrence,
       .step = task.task.step},
      ctx.now());
}

void AdvanceSpeeds(const context& ctx) {
  observations& observed = ctx.state.leader.observed;
  if (!ctx.state.leader.restored || ctx.now() < observed.next_judgement_at)
    return;
  if (!ctx.env.policies.worker_speeds) {
    observed.judgements.clear();
    return;
  }
  const timestamp judged_before = observed.next_judgement_at - kJudgementPause;
  observed.next_judgement_at = ctx.now() + kJudgementPause;
  observed.speeds = policy::Pruned(std::move(observed.speeds), ctx.now());
  auto next = Judge(ctx);
  LogChanges(ctx, observed.judgements, next, judged_before);
  observed.judgements = std::move(next);
}

worker_judgement JudgementOf(const context& ctx,
                             const work::worker_id& worker,
                             const worker_state& row) {
  const auto& all = ctx.state.leader.observed.judgements;
  const auto found = all.find(worker);
  if (found == all.end() || found->second.life != row.listed().life)
    return {.life = row.listed().life};
  return found->second;
}

}  // namespace parsleyhitch::dispatch
