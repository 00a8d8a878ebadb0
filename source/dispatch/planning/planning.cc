// A planning pass over the waiting units: each is placed, has other units
// preempted for it, or stays waiting. Free capacity only shrinks during a pass,
// so a demand that could not be met is not tried again in the same pass.

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "dispatch/leadership/leadership.h"
#include "dispatch/names.h"
#include "dispatch/orders/orders.h"
#include "dispatch/planning/demands.h"
#include "dispatch/planning/planning.h"
#include "dispatch/planning/run_time.h"
#include "placement/room.h"

namespace parsleyhitch::dispatch {

namespace {

class planning_pass {
 public:
  planning_pass(const context& ctx, const job_ranks& ranked)
      : ctx_(ctx),
        ranked_(ranked),
        half_idle_(HalfIdleServices(ctx)),
        quarantine_(QuarantineOf(ctx)),
        capacity_(FreeCapacity(ctx, quarantine_)) {}

  // The number of tasks that the pass has started.
  std::size_t started() const { return started_; }

  void Consider(const waiting_unit& waiting) {
    const placement::demand demand = DemandOf(ctx_, waiting, half_idle_);
    if (demand.alone && quarantine_.left[demand.service] < demand.members)
      return;
    if (!unplaceable_demands_.contains(demand)) {
      const placement::relative_run_time run_time =
          RunTimeOf(ctx_, waiting, images_);
      const auto workers =
          placement::FindPlacement(capacity_, demand, run_time);
      if (workers) {
        CountIfMovedApart(waiting, demand, *workers);
        ReserveCapacity(*workers, demand.need);
        if (demand.alone)
          Quarantine(*workers, demand.service);
        PlaceUnit(ctx_, waiting.unit, *workers);
        for (const work::worker_id& worker : *workers)
          images_.erase(worker);
        started_ += workers->size();
        return;
      }
      unplaceable_demands_.insert(demand);
    }
    const bool urgent =
        ctx_.env.behaviour.may_preempt(waiting.importance, rank::kBackground);
    if (urgent)
      Preempt(waiting, demand);
  }

 private:
  // Counts a placement that would be another one but for interference.
  void CountIfMovedApart(const waiting_unit& waiting,
                         const placement::demand& demand,
                         const std::vector<work::worker_id>& workers) {
    if (!InterferenceFactor(ctx_, waiting, images_))
      return;
    if (placement::FindPlacement(capacity_, demand) != workers)
      ctx_.Count("interference_placements");
  }

  void ReserveCapacity(const std::vector<work::worker_id>& workers,
                       const work::resources& need) {
    for (const work::worker_id& worker : workers)
      capacity_.Take(worker, need);
  }

  // Keeps the workers for the unit that is placed there.
  void Quarantine(const std::vector<work::worker_id>& workers,
                  const work::service_id& service) {
    for (const work::worker_id& worker : workers) {
      if (!quarantine_.workers.insert(worker).second)
        continue;
      quarantine_.left[service] -= 1;
      capacity_.TakeAll(worker);
    }
  }

  placement::victim_set& VictimsOf(rank importance) {
    if (!victims_ || victims_for_ != importance) {
      victims_.emplace(capacity_, VictimsFor(ctx_, ranked_, importance));
      victims_for_ = importance;
    }
    return *victims_;
  }

  // Preempts victims for the unit and reserves their capacity, so that units
  // later in the order don't take it.
  void Preempt(const waiting_unit& waiting, const placement::demand& demand) {
    const std::pair<rank, placement::demand> key(waiting.importance, demand);
    if (demands_without_victims_.contains(key))
      return;
    placement::victim_set& victims = VictimsOf(waiting.importance);
    const auto chosen = placement::FindVictims(capacity_, demand, victims);
    if (!chosen) {
      demands_without_victims_.insert(key);
      return;
    }
    for (const std::uint32_t index : chosen->stopped)
      Stop(victims, index, waiting);
    ReserveCapacity(chosen->workers, demand.need);
  }

  void Stop(placement::victim_set& victims,
            std::uint32_t index,
            const waiting_unit& waiting) {
    const placement::victim& each = victims.Get(index);
    ctx_.Log("unit_preempted", NameOf(each.unit),
             {Field("for", waiting.unit.job.value()),
              Field("waited", waiting.waited)});
    ctx_.Count("units_preempted");
    CountPreemption(each.unit);
    StopUnit(ctx_, each.unit, "preempted");
    for (const work::worker_id& worker : each.workers)
      capacity_.AddLeaving(worker, each.need);
    victims.MarkStopped(index);
  }

  void CountPreemption(const work::unit_id& id) {
    unit stopped = *ctx_.state.leader.units.Find(id);
    stopped.preemptions += 1;
    ctx_.state.leader.units.Put(id, std::move(stopped));
  }

  const context& ctx_;
  const job_ranks& ranked_;
  const std::set<work::service_id> half_idle_;
  quarantine quarantine_;
  placement::capacity_map capacity_;
  worker_images images_;
  std::size_t started_ = 0;
  // Victims for the rank `victims_for_`. One set suffices, as units are
  // considered in the order of their ranks.
  std::optional<placement::victim_set> victims_;
  rank victims_for_ = rank::kBackground;
  std::set<placement::demand> unplaceable_demands_;
  std::set<std::pair<rank, placement::demand>> demands_without_victims_;
};

// A pass takes longer with a longer queue, and with more units and workers to
// look through, so passes are spaced further apart.
duration PlanningPause(const context& ctx, std::size_t waiting) {
  const work::limits& limits = ctx.limits();
  const leader_state& leader = ctx.state.leader;
  const std::size_t scanned = leader.units.size() + leader.workers.size();
  const std::size_t extra =
      waiting / limits.plan_rate + scanned / limits.plan_scan_rate;
  return std::min(
      limits.plan_pause + duration(static_cast<std::int64_t>(extra)),
      limits.plan_pause_max);
}

// The time that one start takes the leader.
std::chrono::microseconds TimeOfStart(const context& ctx) {
  // A second of a core, in millionths of a thousandth of it.
  constexpr std::uint64_t kMicrosOfMilliCores = 1000000000;
  const std::uint64_t rate =
      std::uint64_t{std::max(ctx.env.cpu_millis, 1U)} * ctx.limits().start_rate;
  return std::chrono::microseconds(
      std::max(kMicrosOfMilliCores / rate, std::uint64_t{1}));
}

// How many tasks may be started now. A leader that sends more orders than it
// has time for takes the workers' answers for missing.
std::size_t StartAllowance(const context& ctx) {
  std::chrono::microseconds& until = ctx.state.leader.starts_take_until;
  const std::chrono::microseconds now = ctx.now().time_since_epoch();
  until = std::max(until, now - ctx.limits().plan_pause_max);
  return until >= now
             ? 0
             : static_cast<std::size_t>((now - until) / TimeOfStart(ctx));
}

}  // namespace

void PlanIfDue(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  const bool due = ctx.state.leadership.current_role == role::kLeader &&
                   leader.plan_due && leader.restored &&
                   ctx.now() >= leader.next_plan_at && HasAuthority(ctx);
  if (!due)
    return;
  leader.plan_due = false;
  const job_ranks ranked = RankJobs(ctx);
  const std::vector<waiting_unit> waiting = WaitingUnits(ctx, ranked);
  leader.next_plan_at = ctx.now() + PlanningPause(ctx, waiting.size());
  if (waiting.empty())
    return;
  const std::size_t allowance = StartAllowance(ctx);
  planning_pass pass(ctx, ranked);
  for (const waiting_unit& each : waiting) {
    if (pass.started() >= allowance) {
      leader.plan_due = true;
      break;
    }
    pass.Consider(each);
  }
  leader.starts_take_until += pass.started() * TimeOfStart(ctx);
}

}  // namespace parsleyhitch::dispatch
