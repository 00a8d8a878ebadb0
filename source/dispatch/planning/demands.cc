// A job's rank follows its priority. Jobs of priority 0 that fit into their
// workspace's guarantee, in the order of their submission, get the first rank.

#include "dispatch/planning/demands.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "dispatch/backoff.h"
#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/loads.h"
#include "dispatch/fleet/speeds.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/remaining_time.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/orders/orders.h"
#include "dispatch/planning/planning.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

// The largest number of accelerators that one of the job's steps needs.
std::int64_t AcceleratorsOf(const work::submission& content) {
  std::int64_t most = 0;
  for (const work::step_spec& step : content.request.steps) {
    most = std::max<std::int64_t>(
        most, std::int64_t{step.tasks} * step.need.accelerators);
  }
  return most;
}

rank RankOf(std::uint32_t priority) {
  if (priority == 0)
    return rank::kUrgent;
  return priority == 1 ? rank::kFirm : rank::kBackground;
}

// Units of which a task still runs on a worker where it is not placed.
std::set<work::unit_id> UnitsWithOrphanTasks(const context& ctx) {
  std::set<work::unit_id> found;
  for (const auto& [id, each] : ctx.state.leader.orphan_tasks) {
    const active_job* job = ctx.state.leader.jobs.Find(id.task.job);
    if (job != nullptr)
      found.insert(UnitOf(*job, id.task));
  }
  return found;
}

// A unit takes a worker whose tasks stand still only after this long, or if it
// is guaranteed like any shunned one: it would hardly end there.
constexpr duration kHungPatience{10000};

bool AcceptsHung(const context& ctx, const waiting_unit& waiting) {
  const duration patience = waiting.importance == rank::kGuaranteed
                                ? ctx.limits().shun_patience
                                : kHungPatience;
  return waiting.idle >= patience;
}

// A preempted background unit backs off before it starts again, so that a burst
// of urgent work does not stop it again and again.
bool IsBackingOff(const context& ctx, const unit& each, rank importance) {
  if (importance != rank::kBackground || each.preemptions == 0)
    return false;
  const duration pause =
      ExponentialBackoff(ctx.limits().preempted_base,
                         ctx.limits().preempted_max, each.preemptions - 1);
  return ctx.now() - each.since < pause;
}

// The time that the unit has spent of its objective. Earlier steps of its job
// have had their own share.
duration AgeOf(const waiting_unit& waiting, const work::step_spec& step) {
  return step.after.empty() ? std::max(waiting.waited, waiting.idle)
                            : waiting.idle;
}

}  // namespace

std::map<work::workspace_id, std::int64_t> Guarantees(const context& ctx) {
  std::map<work::workspace_id, std::int64_t> guaranteed;
  const work::published_catalog* current = ctx.state.in_force.Get();
  if (current == nullptr)
    return guaranteed;
  for (const work::workspace& each : current->content.workspaces)
    guaranteed[each.id] = each.guaranteed_accelerators;
  return guaranteed;
}

job_ranks RankJobs(const context& ctx) {
  std::map<work::workspace_id, std::int64_t> left = Guarantees(ctx);
  std::vector<std::pair<std::uint64_t, work::job_id>> by_submission;
  job_ranks found;
  for (const auto& [id, job] : ctx.state.leader.jobs) {
    found[id] = RankOf(job.content.Get()->priority);
    if (found[id] == rank::kUrgent && !work::IsClosed(job.phase))
      by_submission.emplace_back(job.accepted, id);
  }
  std::ranges::sort(by_submission);
  for (const auto& [accepted, id] : by_submission) {
    const work::submission& content =
        *ctx.state.leader.jobs.Find(id)->content.Get();
    std::int64_t& rest = left[content.owner];
    const std::int64_t needed = AcceleratorsOf(content);
    if (needed > rest)
      continue;
    rest -= needed;
    found[id] = rank::kGuaranteed;
  }
  return found;
}

std::vector<waiting_unit> WaitingUnits(const context& ctx,
                                       const job_ranks& ranked) {
  const leader_state& leader = ctx.state.leader;
  const std::set<work::unit_id> blocked = UnitsWithOrphanTasks(ctx);
  std::vector<waiting_unit> waiting;
  for (const auto& [id, each] : ctx.state.leader.units) {
    if (each.phase != unit_phase::kWaiting || blocked.contains(id))
      continue;
    const active_job& job = *ctx.state.leader.jobs.Find(id.job);
    if (work::IsClosed(job.phase) || !MayStart(job, id))
      continue;
    // An earlier leader may have started it on a worker that has not been
    // reached yet.
    const bool started_here = each.attempt >= FirstAttemptOfEpoch(ctx);
    const bool may_run_elsewhere =
        !leader.reconciled || leader.earlier_tasks_unknown;
    if (may_run_elsewhere && !started_here &&
        job.accepted < leader.election_offset)
      continue;
    const rank importance = ranked.at(id.job);
    if (IsBackingOff(ctx, each, importance))
      continue;
    const work::step_spec& step = StepOf(job, id);
    const duration waited = ctx.now() - job.content.Get()->submitted_at;
    waiting.push_back({.unit = id,
                       .importance = importance,
                       .accepted = job.accepted,
                       .members = MembersOf(step),
                       .accelerators = step.need.accelerators,
                       .waited = waited,
                       .idle = ctx.now() - each.since});
  }
  std::ranges::sort(waiting, ctx.env.behaviour.goes_first);
  return waiting;
}

std::set<work::service_id> HalfIdleServices(const context& ctx) {
  std::map<work::service_id, work::resources> capacity;
  std::map<work::service_id, work::resources> used;
  for (const auto& [worker, row] : ctx.state.leader.workers) {
    if (!IsSchedulable(row) || IsEvacuated(ctx, row.listed().failure_domain))
      continue;
    const work::service_id& service = row.listed().service;
    capacity[service] = capacity[service] + row.listed().capacity;
    used[service] = used[service] + LoadOf(ctx, worker).used;
  }
  std::set<work::service_id> half_idle;
  for (const auto& [service, all] : capacity) {
    if (work::Fits(used[service] + used[service], all))
      half_idle.insert(service);
  }
  return half_idle;
}

duration SlackOf(const work::submission& content, const work::step_spec& step) {
  const std::int64_t beyond =
      std::max<std::int64_t>(0, std::int64_t{content.stretch_permille} - 1000);
  return step.estimate * beyond / 1000 + content.target_latency;
}

placement::demand DemandOf(const context& ctx,
                           const waiting_unit& waiting,
                           const std::set<work::service_id>& half_idle) {
  const active_job& job = *ctx.state.leader.jobs.Find(waiting.unit.job);
  const work::step_spec& step = StepOf(job, waiting.unit);
  const dispatch::unit& unit = *ctx.state.leader.units.Find(waiting.unit);
  // No objective lets work wait for a rack while most of the service is idle.
  const bool waits_idly = half_idle.contains(job.content.Get()->service) &&
                          waiting.idle >= ctx.limits().shun_patience;
  placement::demand demand{
      .service = job.content.Get()->service,
      .members = waiting.members,
      .need = NeedOf(step),
      .required_label = step.required_label,
      .same_rack = step.same_rack,
      .data_rack = step.data_rack,
      .accepts_remote = waits_idly,
      .accepts_shunned = waiting.idle >= ctx.limits().shun_patience,
      .alone = IsSuspect(unit) && waiting.idle < ctx.limits().shun_patience,
      .avoided = unit.failed_on,
      .max_per_worker = step.max_per_worker,
      .accepts_hung = AcceptsHung(ctx, waiting),
      .finish_first =
          waiting.importance <= rank::kUrgent || waiting.members > 1};
  if (step.max_per_worker == 0)
    return demand;
  ForUnits(ctx, waiting.unit.job,
           [&](const work::unit_id& id, const auto& each) {
             const bool sibling = id.occurrence == waiting.unit.occurrence &&
                                  id.step == waiting.unit.step;
             if (!sibling)
               return;
             for (const member& one : each.members) {
               if (one.state != member_state::kEnded)
                 demand.same_step_tasks[one.worker] += 1;
             }
           });
  return demand;
}

std::vector<placement::victim> VictimsFor(const context& ctx,
                                          const job_ranks& ranked,
                                          rank importance) {
  std::vector<placement::victim> victims;
  for (const auto& [id, each] : ctx.state.leader.units) {
    if (each.phase != unit_phase::kPlaced)
      continue;
    const rank theirs = ranked.at(id.job);
    if (!ctx.env.behaviour.may_preempt(importance, theirs))
      continue;
    const active_job& job = *ctx.state.leader.jobs.Find(id.job);
    const work::step_spec& step = StepOf(job, id);
    placement::victim found{.unit = id, .need = NeedOf(step)};
    bool stopping = false;
    for (const member& one : each.members) {
      stopping = stopping || one.stopping;
      if (one.state != member_state::kEnded)
        found.workers.push_back(one.worker);
    }
    if (stopping || found.workers.empty())
      continue;
    found.cost = ctx.env.behaviour.stop_cost(
        {.members = static_cast<std::uint32_t>(each.members.size()),
         .cpu_millis = step.need.cpu_millis,
         .accelerators = step.need.accelerators,
         .ran = ctx.now() - each.since,
         .remaining = RemainingTime(ctx, id, each, step),
         .preemptions = each.preemptions,
         .checkpointed = step.checkpointed,
         .importance = theirs});
    victims.push_back(std::move(found));
  }
  return victims;
}

policy::unit_in_need NeedOfRoom(const context& ctx,
                                const waiting_unit& waiting) {
  const active_job& job = *ctx.state.leader.jobs.Find(waiting.unit.job);
  const work::step_spec& step = StepOf(job, waiting.unit);
  return {.slack = SlackOf(*job.content.Get(), step),
          .age = AgeOf(waiting, step),
          .task_stop = ctx.env.bounds.task_stop,
          .guaranteed = waiting.importance == rank::kGuaranteed};
}

std::vector<placement::ending_unit> EndingUnits(const context& ctx,
                                                duration longest) {
  std::vector<placement::ending_unit> ending;
  for (const auto& [id, each] : ctx.state.leader.units) {
    if (each.phase != unit_phase::kPlaced)
      continue;
    const work::step_spec& step =
        StepOf(*ctx.state.leader.jobs.Find(id.job), id);
    const auto remaining = ShownRemainingTime(ctx, id, each, step);
    if (!remaining || policy::WithMargin(*remaining) > longest)
      continue;
    placement::ending_unit found{.unit = id,
                                 .need = NeedOf(step),
                                 .ends_in = policy::WithMargin(*remaining)};
    bool stopping = false;
    for (const member& one : each.members) {
      stopping = stopping || one.stopping;
      if (one.state != member_state::kEnded)
        found.workers.push_back(one.worker);
    }
    if (!stopping)
      ending.push_back(std::move(found));
  }
  return ending;
}

placement::capacity_map FreeCapacity(const context& ctx,
                                     const quarantine& kept) {
  std::vector<placement::worker_capacity> workers;
  for (const auto& [worker, row] : ctx.state.leader.workers) {
    if (!IsSchedulable(row) || !IsAdmitted(ctx, worker))
      continue;
    if (kept.workers.contains(worker) || ctx.now() < row.next_start_at ||
        IsEvacuated(ctx, row.listed().failure_domain))
      continue;
    const worker_load& carried = LoadOf(ctx, worker);
    const worker_judgement judged = JudgementOf(ctx, worker, row);
    const bool hung = ctx.now() < judged.hung_until;
    workers.push_back(
        {.worker = worker,
         .service = row.listed().service,
         .rack = row.listed().rack,
         .labels = row.listed().labels,
         .free = row.listed().capacity - carried.used,
         .leaving = carried.leaving,
         .shunned = ctx.now() < row.shunned_until || judged.speed.slow || hung,
         .idle = carried.tasks.empty(),
         .hung = hung,
         .run_time_permille = judged.speed.run_time_permille});
  }
  placement::capacity_map capacity(std::move(workers));
  for (const auto& [id, each] : ctx.state.leader.orphan_tasks)
    capacity.Take(id.worker, each.need);
  return capacity;
}

}  // namespace parsleyhitch::dispatch
