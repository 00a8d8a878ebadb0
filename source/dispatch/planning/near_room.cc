// Forecasts are made from what runs on the workers and kept for half a second,
// as a pass is made up to 50 times a second.

#include "dispatch/planning/near_room.h"

#include <algorithm>
#include <utility>

#include "dispatch/fleet/loads.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/names.h"
#include "dispatch/planning/demands.h"

namespace parsleyhitch::dispatch {

namespace {

constexpr duration kForecastPause{500};

// The room of a task that should have ended comes this soon.
constexpr duration kLeastWait{50};

// How many racks a pass looks at. Units beyond that wait for a fixed share of
// their slack.
constexpr std::uint32_t kMaxRacks = 400;
constexpr duration kBeginReserve{500};

// The time left for a guaranteed unit that has waited this long to decide on
// room elsewhere, also if that has to be freed.
duration LeftToBegin(const context& ctx, duration waited) {
  return ctx.env.bounds.reclaim - kBeginReserve - ctx.env.bounds.task_stop -
         waited;
}

// How long the unit's step has waited. A later one was not waiting while those
// before it ran.
duration WaitedSinceReady(const context& ctx, const waiting_unit& waiting) {
  const active_job& job = *ctx.state.leader.jobs.Find(waiting.unit.job);
  return StepOf(job, waiting.unit).after.empty()
             ? waiting.waited
             : std::min(waiting.waited, waiting.idle);
}

// When the member's resources become free; empty if it runs without end.
std::optional<timestamp> ExpectedEnd(const context& ctx,
                                     const work::unit_id& id,
                                     std::uint32_t index,
                                     const unit& each,
                                     const work::step_spec& step) {
  if (each.members[index].stopping)
    return ctx.now() + ctx.env.bounds.task_stop;
  if (step.endless)
    return {};
  const task_observation* seen =
      ctx.state.leader.observed.tasks.Find(TaskOf(id, index));
  const bool same_attempt = seen != nullptr && seen->attempt == each.attempt;
  const policy::run_progress unobserved{.started = each.since,
                                        .estimate = step.estimate};
  return ctx.now() + policy::ExpectedRemaining(
                         same_attempt ? seen->progress : unobserved, ctx.now());
}

std::vector<freed_room> ComingRoomOn(const context& ctx,
                                     const work::worker_id& worker) {
  std::vector<freed_room> coming;
  const leader_state& leader = ctx.state.leader;
  for (const auto& [id, index] : LoadOf(ctx, worker).tasks) {
    const unit* each = leader.units.Find(id);
    const active_job* job = leader.jobs.Find(id.job);
    if (each == nullptr || job == nullptr || index >= each->members.size())
      continue;
    const work::step_spec& step = StepOf(*job, id);
    if (const auto at = ExpectedEnd(ctx, id, index, *each, step))
      coming.push_back({.at = *at, .amount = NeedOf(step)});
  }
  return coming;
}

void ForecastIfDue(const context& ctx) {
  observations& observed = ctx.state.leader.observed;
  if (ctx.now() < observed.next_forecast_at)
    return;
  observed.next_forecast_at = ctx.now() + kForecastPause;
  observed.coming_room.clear();
  for (const auto& [worker, load] : ctx.state.leader.loads) {
    if (!load.tasks.empty())
      observed.coming_room[worker] = ComingRoomOn(ctx, worker);
  }
}

policy::room_forecast ForecastOf(const context& ctx,
                                 const placement::worker_capacity& slot) {
  policy::room_forecast found{.free = slot.free};
  const auto& all = ctx.state.leader.observed.coming_room;
  const auto coming = all.find(slot.worker);
  if (coming == all.end())
    return found;
  for (const freed_room& each : coming->second) {
    found.coming.push_back({.in = std::max(each.at - ctx.now(), kLeastWait),
                            .amount = each.amount});
  }
  return found;
}

bool HasEligible(const placement::capacity_map& capacity,
                 const placement::demand& wanted,
                 const placement::slot_range& range) {
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    if (placement::IsEligible(wanted, capacity.slots()[i]))
      return true;
  }
  return false;
}

// The racks that count as near.
std::vector<placement::rack_slots> NearRacks(
    const placement::capacity_map& capacity,
    const placement::demand& wanted) {
  const auto& racks = capacity.RacksOf(wanted.service);
  const auto at_data =
      std::ranges::find(racks, wanted.data_rack, &placement::rack_slots::rack);
  const bool has_data_rack = !wanted.data_rack.value().empty() &&
                             at_data != racks.end() &&
                             HasEligible(capacity, wanted, at_data->slots);
  if (has_data_rack)
    return {*at_data};
  return wanted.same_rack ? racks : std::vector<placement::rack_slots>();
}

}  // namespace

std::optional<duration> near_room::WaitOn(
    const placement::rack_slots& rack,
    const placement::demand& wanted,
    const placement::capacity_map& capacity) {
  std::vector<policy::room_forecast> workers;
  for (std::uint32_t i = rack.slots.first; i < rack.slots.last; ++i) {
    const placement::worker_capacity& slot = capacity.slots()[i];
    if (placement::IsEligible(wanted, slot))
      workers.push_back(ForecastOf(ctx_, slot));
  }
  const auto before = awaited_.find(rack.rack);
  const std::uint32_t others = before == awaited_.end() ? 0 : before->second;
  return policy::ExpectedWait(workers, wanted.need, wanted.members + others);
}

std::optional<near_room::rack_wait> near_room::ShortestWait(
    const placement::demand& wanted,
    const placement::capacity_map& capacity) {
  std::optional<rack_wait> shortest;
  for (const placement::rack_slots& each : NearRacks(capacity, wanted)) {
    racks_searched_ += 1;
    const auto wait = WaitOn(each, wanted, capacity);
    if (wait && (!shortest || *wait < shortest->wait))
      shortest = {.rack = each.rack, .wait = *wait};
  }
  return shortest;
}

bool near_room::PreemptsNear(const waiting_unit& waiting) const {
  const bool must_begin =
      waiting.importance == rank::kGuaranteed &&
      LeftToBegin(ctx_, WaitedSinceReady(ctx_, waiting)) <= duration(0);
  return ctx_.env.policies.locality_forecast && !must_begin &&
         waiting.idle < ctx_.limits().shun_patience;
}

locality_decision near_room::Decide(const waiting_unit& waiting,
                                    const placement::demand& wanted,
                                    const placement::capacity_map& capacity) {
  const active_job& job = *ctx_.state.leader.jobs.Find(waiting.unit.job);
  const work::step_spec& step = StepOf(job, waiting.unit);
  const duration waited = WaitedSinceReady(ctx_, waiting);
  const duration slack = SlackOf(ContentOf(job), step);
  const bool out_of_patience =
      waited >= slack * ctx_.limits().near_patience_permille / 1000;
  if (racks_searched_ >= kMaxRacks || wanted.alone ||
      !ctx_.env.policies.locality_forecast)
    return {.runs_elsewhere = out_of_patience};
  ForecastIfDue(ctx_);
  const auto shortest = ShortestWait(wanted, capacity);
  // There is room, but something else than room is in the way.
  if (shortest && shortest->wait == duration(0))
    return {.runs_elsewhere = out_of_patience};
  policy::locality_question question{
      .waited = waiting.idle,
      .run_time = step.estimate,
      .remote_permille = ctx_.env.bounds.remote_permille,
      .slack = slack - waited};
  if (shortest)
    question.wait = shortest->wait;
  if (waiting.importance == rank::kGuaranteed)
    question.begins_within = LeftToBegin(ctx_, waited);
  const bool waits =
      policy::ChooseLocality(question) == policy::locality::kWaits;
  if (waits && shortest)
    awaited_[shortest->rack] += wanted.members;
  return {.runs_elsewhere = !waits, .near_wait = question.wait};
}

}  // namespace parsleyhitch::dispatch
