// A planning pass over the waiting units: each is placed, has other units
// preempted for it, or stays waiting. Free capacity only shrinks during a pass,
// so a demand that could not be met is not tried again in the same pass.

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "dispatch/leadership/leadership.h"
#include "dispatch/names.h"
#include "dispatch/orders/orders.h"
#include "dispatch/planning/demands.h"
#include "dispatch/planning/near_room.h"
#include "dispatch/planning/planning.h"
#include "dispatch/planning/run_time.h"
#include "dispatch/planning/shares.h"
#include "dispatch/planning/urgent_reserve.h"
#include "placement/held_room.h"
#include "placement/room.h"

namespace parsleyhitch::dispatch {

namespace {

// Ends further ahead are not looked at: no unit that may preempt others waits
// longer.
constexpr duration kLongestHorizon{2000};

class planning_pass {
 public:
  planning_pass(const context& ctx, const job_ranks& ranked)
      : ctx_(ctx),
        ranked_(ranked),
        half_idle_(HalfIdleServices(ctx)),
        quarantine_(QuarantineOf(ctx)),
        capacity_(FreeCapacity(ctx, quarantine_)),
        reserve_(ctx, capacity_, half_idle_),
        run_time_(RelativeRunTime(ctx)),
        near_room_(ctx) {}

  planning_pass(const planning_pass&) = delete;
  planning_pass& operator=(const planning_pass&) = delete;

  // The number of tasks that the pass has started.
  std::size_t started() const { return started_; }

  void Consider(const waiting_unit& waiting) {
    placement::demand demand = DemandOf(ctx_, waiting, half_idle_);
    if (demand.alone && quarantine_.left[demand.service] < demand.members)
      return;
    if (const auto workers = FindWorkers(waiting, demand)) {
      Place(waiting, demand, *workers);
      return;
    }
    const bool urgent =
        ctx_.env.behaviour.may_preempt(waiting.importance, rank::kBackground);
    if (urgent && WaitForRoom(waiting, demand))
      return;
    if (!demand.accepts_remote && IsBoundToRack(demand)) {
      if (urgent && near_room_.PreemptsNear(waiting) &&
          Preempt(waiting, demand))
        return;
      if (TryElsewhere(waiting, demand, urgent))
        return;
    }
    if (urgent && Preempt(waiting, demand))
      return;
    if (waiting.overdue && !demand.alone)
      KeepRoom(waiting, demand);
  }

  // Stores what the next pass goes on from. The units that were not considered
  // because the pass `was_cut` go on waiting for room.
  void Finish(bool was_cut) {
    if (was_cut)
      room_waits_.insert(EarlierWaits().begin(), EarlierWaits().end());
    ctx_.state.leader.observed.room_waits = std::move(room_waits_);
    ctx_.state.leader.rooms_kept = std::move(rooms_kept_);
    reserve_.Finish();
  }

 private:
  // Places a unit without room near elsewhere if it is to run there. Otherwise
  // `demand` accepts places elsewhere if others may be preempted there.
  bool TryElsewhere(const waiting_unit& waiting,
                    placement::demand& demand,
                    bool urgent) {
    demand.accepts_remote = true;
    const auto workers = FindWorkers(waiting, demand);
    demand.accepts_remote = false;
    if (!workers && !urgent)
      return false;
    const locality_decision decided =
        near_room_.Decide(waiting, demand, capacity_);
    demand.accepts_remote = decided.runs_elsewhere;
    if (!workers || !decided.runs_elsewhere)
      return false;
    ctx_.Log("unit_elsewhere", NameOf(waiting.unit),
             {Field("waited", waiting.waited),
              decided.near_wait ? Field("near_wait", *decided.near_wait)
                                : Field("near_wait_ms", std::string())});
    ctx_.Count("units_elsewhere");
    Place(waiting, demand, *workers);
    return true;
  }

  std::optional<std::vector<work::worker_id>> FindWorkers(
      const waiting_unit& waiting,
      const placement::demand& demand) {
    if (unplaceable_demands_.contains(demand))
      return {};
    auto workers =
        placement::FindPlacement(capacity_, demand, run_time_,
                                 InterferenceFactor(ctx_, waiting, images_));
    if (!workers)
      unplaceable_demands_.insert(demand);
    return workers;
  }

  // Starts the unit on the workers, or leaves them free for urgent units.
  void Place(const waiting_unit& waiting,
             const placement::demand& demand,
             const std::vector<work::worker_id>& workers) {
    if (reserve_.HoldsBack(waiting, demand)) {
      ReserveCapacity(workers, demand.need);
      return;
    }
    CountIfMovedApart(waiting, demand, workers);
    ReserveCapacity(workers, demand.need);
    if (demand.alone)
      Quarantine(workers, demand.service);
    PlaceUnit(ctx_, waiting.unit, workers);
    for (const work::worker_id& worker : workers)
      images_.erase(worker);
    started_ += workers.size();
    NoteRoomCame(waiting.unit);
    if (waiting.passes_earlier)
      ctx_.Count("units_placed_out_of_order");
  }

  // Counts a placement that would be another one but for interference.
  void CountIfMovedApart(const waiting_unit& waiting,
                         const placement::demand& demand,
                         const std::vector<work::worker_id>& workers) {
    if (!InterferenceFactor(ctx_, waiting, images_))
      return;
    if (placement::FindPlacement(capacity_, demand, run_time_) != workers)
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

  const std::map<work::unit_id, room_wait>& EarlierWaits() const {
    return ctx_.state.leader.observed.room_waits;
  }

  const room_wait* FindEarlierWait(const work::unit_id& id) const {
    const auto found = EarlierWaits().find(id);
    return found == EarlierWaits().end() ? nullptr : &found->second;
  }

  placement::ending_units& Ending() {
    if (!ending_)
      ending_.emplace(capacity_, EndingUnits(ctx_, kLongestHorizon));
    return *ending_;
  }

  // Reserves room that is expected to come free in time without a stop, if
  // there is any, so that units later in the order don't take it. The same room
  // is found again in the next pass, or better one.
  bool WaitForRoom(const waiting_unit& waiting,
                   const placement::demand& demand) {
    const policy::unit_in_need need = NeedOfRoom(ctx_, waiting);
    const duration allowed =
        std::min(ctx_.env.behaviour.allowed_wait(need), kLongestHorizon);
    if (allowed <= duration(0))
      return false;
    const auto room = placement::FindExpectedRoom(capacity_, demand, Ending(),
                                                  need.task_stop, allowed);
    if (!room)
      return false;
    ReserveCapacity(room->workers, demand.need);
    const room_wait* earlier = FindEarlierWait(waiting.unit);
    if (earlier == nullptr) {
      ctx_.Log("unit_waits_for_room", NameOf(waiting.unit),
               {Field("expected", room->wait), Field("allowed", allowed),
                Field("waited", waiting.waited)});
      ctx_.Count("room_waits");
    }
    KeepWaiting(waiting.unit, room->wait, false);
    return true;
  }

  void KeepWaiting(const work::unit_id& id, duration wait, bool after_stop) {
    const room_wait* earlier = FindEarlierWait(id);
    room_waits_[id] = {
        .since = earlier == nullptr ? ctx_.now() : earlier->since,
        .expected_at = ctx_.now() + wait,
        .after_stop =
            after_stop || (earlier != nullptr && earlier->after_stop)};
  }

  void NoteRoomCame(const work::unit_id& id) {
    const room_wait* earlier = FindEarlierWait(id);
    if (earlier != nullptr && !earlier->after_stop)
      ctx_.Count("preemptions_avoided");
  }

  // Others are stopped for the unit, which may have waited for room in vain.
  void NoteStops(const work::unit_id& id) {
    const room_wait* earlier = FindEarlierWait(id);
    if (earlier != nullptr && !earlier->after_stop) {
      ctx_.Log("room_did_not_come", NameOf(id),
               {Field("waited", ctx_.now() - earlier->since)});
      ctx_.Count("room_waits_failed");
    }
    KeepWaiting(id, ctx_.env.bounds.task_stop, true);
  }

  placement::victim_set& VictimsOf(rank importance) {
    if (!victims_ || victims_for_ != importance) {
      victims_.emplace(capacity_, VictimsFor(ctx_, ranked_, importance));
      victims_for_ = importance;
    }
    return *victims_;
  }

  // Keeps free capacity for a unit that does not fit yet, so that units later
  // in the order don't take it. For one unit of each service at a time.
  void KeepRoom(const waiting_unit& waiting, const placement::demand& demand) {
    if (rooms_kept_.contains(demand.service))
      return;
    const std::vector<placement::held_part> parts = placement::FindHeldRoom(
        capacity_, demand, [this](const work::worker_id& worker) {
          return ctx_.state.leader.workers.Find(worker)->listed().capacity;
        });
    if (parts.empty())
      return;
    for (const placement::held_part& each : parts)
      capacity_.Take(each.worker, each.amount);
    rooms_kept_[demand.service] = waiting.unit;
    const auto& before = ctx_.state.leader.rooms_kept;
    const auto known = before.find(demand.service);
    if (known != before.end() && known->second == waiting.unit)
      return;
    ctx_.Log("room_kept", NameOf(waiting.unit),
             {Field("service", demand.service.value()),
              Field("waited", waiting.waited), Field("parts", parts.size())});
    ctx_.Count("rooms_kept");
  }

  // Preempts victims for the unit and reserves their capacity, so that units
  // later in the order don't take it. False if there are not enough.
  bool Preempt(const waiting_unit& waiting, const placement::demand& demand) {
    const std::pair<rank, placement::demand> key(waiting.importance, demand);
    if (demands_without_victims_.contains(key))
      return false;
    placement::victim_set& victims = VictimsOf(waiting.importance);
    const auto chosen = placement::FindVictims(capacity_, demand, victims);
    if (!chosen) {
      demands_without_victims_.insert(key);
      return false;
    }
    if (!chosen->stopped.empty())
      NoteStops(waiting.unit);
    else if (FindEarlierWait(waiting.unit) != nullptr)
      KeepWaiting(waiting.unit, ctx_.env.bounds.task_stop, false);
    for (const std::uint32_t index : chosen->stopped)
      Stop(victims, index, waiting, demand.service);
    ReserveCapacity(chosen->workers, demand.need);
    return true;
  }

  void Stop(placement::victim_set& victims,
            std::uint32_t index,
            const waiting_unit& waiting,
            const work::service_id& service) {
    const placement::victim& each = victims.Get(index);
    ctx_.Log("unit_preempted", NameOf(each.unit),
             {Field("for", waiting.unit.job.value()),
              Field("waited", waiting.waited)});
    ctx_.Count("units_preempted");
    CountPreemption(each.unit);
    NotePreemption(ctx_, service);
    StopUnit(ctx_, each.unit, "preempted");
    for (const work::worker_id& worker : each.workers)
      capacity_.AddLeaving(worker, each.need);
    victims.MarkStopped(index);
    if (ending_)
      ending_->MarkStopped(each.unit);
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
  urgent_reserve reserve_;
  const placement::run_time_function run_time_;
  near_room near_room_;
  worker_images images_;
  std::size_t started_ = 0;
  // Victims for the rank `victims_for_`. One set suffices, as units are
  // considered in the order of their ranks.
  std::optional<placement::victim_set> victims_;
  rank victims_for_ = rank::kBackground;
  std::optional<placement::ending_units> ending_;
  std::map<work::unit_id, room_wait> room_waits_;
  std::set<placement::demand> unplaceable_demands_;
  std::set<std::pair<rank, placement::demand>> demands_without_victims_;
  std::map<work::service_id, work::unit_id> rooms_kept_;
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
  std::vector<waiting_unit> waiting = WaitingUnits(ctx, ranked);
  leader.next_plan_at = ctx.now() + PlanningPause(ctx, waiting.size());
  if (waiting.empty()) {
    leader.observed.room_waits.clear();
    leader.observed.held_back.clear();
    leader.observed.reserves.clear();
    leader.rooms_kept.clear();
    return;
  }
  const std::size_t allowance = StartAllowance(ctx);
  waiting = ShareFairly(ctx, ranked, std::move(waiting), allowance);
  planning_pass pass(ctx, ranked);
  bool was_cut = false;
  for (const waiting_unit& each : waiting) {
    if (pass.started() >= allowance) {
      leader.plan_due = true;
      was_cut = true;
      break;
    }
    pass.Consider(each);
  }
  pass.Finish(was_cut);
  leader.starts_take_until += pass.started() * TimeOfStart(ctx);
}

}  // namespace parsleyhitch::dispatch
