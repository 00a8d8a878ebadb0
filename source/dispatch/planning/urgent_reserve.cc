// The reserve of a service is an amount of its free resources in all, not
// particular workers.

#include "dispatch/planning/urgent_reserve.h"

#include <algorithm>

#include "dispatch/fleet/fleet.h"
#include "dispatch/names.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

// No unit is held back for longer than this while there is room for it. Below 3
// s, within which work must start when there is capacity, with time left for
// the start.
constexpr duration kLongestHeldBack{1500};

work::resources CapacityOf(const context& ctx,
                           const work::service_id& service) {
  work::resources all;
  for (const auto& [worker, row] : ctx.state.leader.workers) {
    if (row.listed().service == service && IsSchedulable(row) &&
        !IsEvacuated(ctx, row.listed().failure_domain))
      all = all + row.listed().capacity;
  }
  return all;
}

work::resources FreeOf(const placement::capacity_map& capacity,
                       const work::service_id& service) {
  const placement::slot_range range = capacity.SlotsOf(service);
  work::resources free;
  for (std::uint32_t i = range.first; i < range.last; ++i) {
    // A worker that is overcommitted takes nothing from the others.
    free = free + placement::ElementwiseMax(capacity.slots()[i].free, {});
  }
  return free;
}

}  // namespace

void NoteReadyUnits(const context& ctx,
                    const active_job& job,
                    const work::step_spec& step) {
  const work::submission& content = *job.content.Get();
  // Jobs that a new leader restores arrived at unknown times before.
  if (content.priority != 0 || job.accepted < ctx.state.leader.election_offset)
    return;
  policy::urgent_load& load =
      ctx.state.leader.observed.urgent_loads[content.service];
  load = policy::WithArrival(load, NeedOf(step) * step.tasks, ctx.now());
}

void NotePreemption(const context& ctx, const work::service_id& service) {
  policy::urgent_load& load = ctx.state.leader.observed.urgent_loads[service];
  load = policy::WithStop(load, ctx.now());
}

bool urgent_reserve::HoldsBack(const waiting_unit& waiting,
                               const placement::demand& demand) {
  const auto& behaviour = ctx_.env.behaviour;
  if (behaviour.may_preempt(waiting.importance, rank::kBackground))
    return false;
  service_reserve& here = ReserveOf(demand.service);
  const work::resources need = demand.need * demand.members;
  if (work::Fits(here.kept, here.free - need) ||
      here.kept == work::resources()) {
    here.free = here.free - need;
    return false;
  }
  auto& held_back = ctx_.state.leader.observed.held_back;
  const auto [held, is_first] = held_back.try_emplace(waiting.unit, ctx_.now());
  if (ctx_.now() - held->second >= kLongestHeldBack) {
    here.free = here.free - need;
    return false;
  }
  if (is_first) {
    ctx_.Log("unit_held_back", NameOf(waiting.unit),
             {Field("reserved_cpu_millis",
                    static_cast<std::uint64_t>(here.kept.cpu_millis)),
              Field("reserved_accelerators",
                    static_cast<std::uint64_t>(here.kept.accelerators))});
    ctx_.Count("units_held_back");
  }
  return true;
}

void urgent_reserve::Finish() {
  observations& observed = ctx_.state.leader.observed;
  observed.reserves.clear();
  for (const auto& [service, each] : reserves_)
    observed.reserves[service] = each.kept;
  std::erase_if(observed.held_back, [&](const auto& entry) {
    const unit* each = ctx_.state.leader.units.Find(entry.first);
    return each == nullptr || each->phase != unit_phase::kWaiting;
  });
}

urgent_reserve::service_reserve& urgent_reserve::ReserveOf(
    const work::service_id& service) {
  const auto [found, is_new] = reserves_.try_emplace(service);
  service_reserve& here = found->second;
  const auto& loads = ctx_.state.leader.observed.urgent_loads;
  const auto load = loads.find(service);
  if (!is_new || load == loads.end() || half_idle_.contains(service))
    return here;
  here.kept = ctx_.env.behaviour.reserve_for_urgent(
      load->second, CapacityOf(ctx_, service), ctx_.now());
  here.free = FreeOf(capacity_, service);
  return here;
}

}  // namespace parsleyhitch::dispatch
