// Reservations are recomputed only for the shapes that a change touches.

#include "scheduler/guarantees.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "scheduler/job_rules.h"
#include "scheduler/manifest_rules.h"
#include "scheduler/plan_search.h"

namespace parsleyhitch::scheduler {

namespace {

constexpr char kNoRoom[] =
    "no adjacent workers with room beside firm work and other guarantees";

// Reserves the shape's accelerators on each of its workers, or lets them go.
enum class reservation_change { kTake, kGiveBack };

model::ledger ChangeReservation(model::ledger ledger,
                                const model::shape& shape,
                                const std::vector<model::worker_id>& workers,
                                reservation_change kind) {
  const auto amount = static_cast<std::int32_t>(shape.accelerators);
  const std::int32_t change =
      kind == reservation_change::kTake ? amount : -amount;
  for (const model::worker_id& worker : workers)
    ledger = ChangeUse(std::move(ledger), worker, use_kind::kReserved, change);
  return ledger;
}

model::ledger ReleaseReservation(model::ledger ledger,
                                 const model::guarantee_status& status) {
  return ChangeReservation(std::move(ledger), status.capacity, status.workers,
                           reservation_change::kGiveBack);
}

fold_step MarkShort(fold_step step,
                    const model::guarantee_id& id,
                    const model::shape& shape) {
  const model::guarantee_status* old = step.ledger.guarantees.Find(id);
  const bool known = old != nullptr && !old->shortfall.empty();
  step.ledger.guarantees.Put(id, {.capacity = shape, .shortfall = kNoRoom});
  step.ledger.unmet_guarantees.insert(id);
  if (!known)
    step.changes.push_back(guarantee_short{.id = id, .shortfall = kNoRoom});
  return step;
}

// Reserves the shape on whatever workers fit, or marks it short.
fold_step Reserve(fold_step step,
                  const model::guarantee_id& id,
                  const model::shape& shape) {
  const std::vector<model::worker_id> workers =
      FindReservable(step.ledger, shape);
  if (workers.empty())
    return MarkShort(std::move(step), id, shape);
  step.ledger = ChangeReservation(std::move(step.ledger), shape, workers,
                                  reservation_change::kTake);
  step.ledger.unmet_guarantees.erase(id);
  step.ledger.guarantees.Put(id, {.capacity = shape, .workers = workers});
  return step;
}

// What the claiming job left of the shape, and so stayed reserved.
std::uint32_t LeftoverOn(const model::worker_id& worker,
                         const model::guarantee_status& status,
                         const model::placement& placed) {
  const std::uint32_t used =
      MemberOn(placed, worker) != nullptr ? placed.accelerators : 0;
  return status.capacity.accelerators - used;
}

model::ledger ChangeLeftover(model::ledger ledger,
                             const model::guarantee_status& status,
                             const model::placement& placed,
                             std::int32_t sign) {
  for (const model::worker_id& worker : status.workers) {
    const auto leftover =
        static_cast<std::int32_t>(LeftoverOn(worker, status, placed));
    ledger = ChangeUse(std::move(ledger), worker, use_kind::kReserved,
                       sign * leftover);
  }
  return ledger;
}

fold_step Withdraw(fold_step step, const model::guarantee_id& id) {
  const model::guarantee_status status = *step.ledger.guarantees.Find(id);
  if (!status.claimed_by) {
    step.ledger = ReleaseReservation(std::move(step.ledger), status);
  } else {
    const model::placement placed =
        *step.ledger.placements.Find(*status.claimed_by);
    step.ledger = ChangeLeftover(std::move(step.ledger), status, placed, -1);
  }
  step.ledger.unmet_guarantees.erase(id);
  step.ledger.guarantees.Erase(id);
  return step;
}

std::uint64_t SizeOf(const model::shape& shape) {
  return std::uint64_t{shape.gang_size} * shape.accelerators;
}

struct wanted_guarantee {
  model::guarantee_id id;
  model::shape capacity;
};

// Largest first: small shapes fit in what large ones leave.
std::vector<const wanted_guarantee*> LargestFirst(
    const std::vector<wanted_guarantee>& wanted) {
  std::vector<const wanted_guarantee*> order;
  order.reserve(wanted.size());
  for (const wanted_guarantee& each : wanted)
    order.push_back(&each);
  std::ranges::stable_sort(order, [](const auto* left, const auto* right) {
    return SizeOf(left->capacity) > SizeOf(right->capacity);
  });
  return order;
}

std::vector<wanted_guarantee> WantedBy(const model::manifest& manifest) {
  std::vector<wanted_guarantee> wanted;
  for (const model::workspace& owner : manifest.workspaces) {
    for (const model::guarantee& each : owner.guarantees) {
      wanted.push_back({.id = {.owner = owner.id, .name = each.name},
                        .capacity = each.capacity});
    }
  }
  return wanted;
}

bool Fits(const model::shape& inner, const model::shape& outer) {
  return inner.gang_size <= outer.gang_size &&
         inner.accelerators <= outer.accelerators &&
         inner.nearness <= outer.nearness;
}

}  // namespace

fold_step ApplyGuarantees(fold_step step) {
  const std::vector<wanted_guarantee> wanted =
      WantedBy(*step.ledger.in_force.Get());
  std::set<model::guarantee_id> unchanged;
  for (const wanted_guarantee& each : wanted) {
    const model::guarantee_status* present =
        step.ledger.guarantees.Find(each.id);
    if (present != nullptr && present->capacity == each.capacity)
      unchanged.insert(each.id);
  }
  std::vector<model::guarantee_id> stale;
  for (const auto& [id, status] : step.ledger.guarantees) {
    if (!unchanged.contains(id))
      stale.push_back(id);
  }
  for (const model::guarantee_id& id : stale)
    step = Withdraw(std::move(step), id);
  for (const wanted_guarantee* each : LargestFirst(wanted)) {
    if (!unchanged.contains(each->id))
      step = Reserve(std::move(step), each->id, each->capacity);
  }
  return step;
}

fold_step RetryShortGuarantees(fold_step step) {
  const std::set<model::guarantee_id> shorts = step.ledger.unmet_guarantees;
  for (const model::guarantee_id& id : shorts) {
    const model::shape shape = step.ledger.guarantees.Find(id)->capacity;
    step = Reserve(std::move(step), id, shape);
  }
  return step;
}

fold_step MoveGuaranteesOff(fold_step step, const model::worker_id& worker) {
  std::vector<model::guarantee_id> touched;
  for (const auto& [id, status] : step.ledger.guarantees) {
    if (!status.claimed_by && std::ranges::count(status.workers, worker) > 0)
      touched.push_back(id);
  }
  for (const model::guarantee_id& id : touched) {
    const model::guarantee_status status = *step.ledger.guarantees.Find(id);
    step.ledger = ReleaseReservation(std::move(step.ledger), status);
    step = Reserve(std::move(step), id, status.capacity);
  }
  return step;
}

std::optional<model::guarantee_id> ClaimableBy(
    const model::ledger& ledger,
    const model::job_spec& spec,
    const std::set<model::guarantee_id>& excluded) {
  std::optional<model::guarantee_id> best;
  std::uint64_t best_size = 0;
  if (spec.preemptible)
    return best;
  const model::manifest* manifest = ledger.in_force.Get();
  const model::workspace* owner =
      manifest == nullptr ? nullptr : FindWorkspace(*manifest, spec.owner);
  if (owner == nullptr)
    return best;
  for (const model::guarantee& each : owner->guarantees) {
    const model::guarantee_id id{.owner = owner->id, .name = each.name};
    const model::guarantee_status* status = ledger.guarantees.Find(id);
    if (status == nullptr || status->claimed_by || !status->shortfall.empty())
      continue;
    if (excluded.contains(id))
      continue;
    if (!Fits(spec.capacity, status->capacity))
      continue;
    if (best && SizeOf(status->capacity) >= best_size)
      continue;
    best.emplace(id);
    best_size = SizeOf(status->capacity);
  }
  return best;
}

bool MayEverClaim(const model::ledger& ledger, const model::job_spec& spec) {
  const model::workspace* owner =
      FindWorkspace(*ledger.in_force.Get(), spec.owner);
  return std::ranges::any_of(owner->guarantees,
                             [&](const model::guarantee& each) {
                               return Fits(spec.capacity, each.capacity);
                             });
}

model::ledger Claim(model::ledger ledger,
                    const model::guarantee_id& id,
                    const model::job_id& job,
                    const model::placement& placed) {
  const model::guarantee_status status = *ledger.guarantees.Find(id);
  ledger = ReleaseReservation(std::move(ledger), status);
  // What the job leaves of the shape stays out of the reach of other firm work.
  ledger = ChangeLeftover(std::move(ledger), status, placed, 1);
  ledger.guarantees.Put(id, {.capacity = status.capacity,
                             .workers = status.workers,
                             .claimed_by = job});
  return ledger;
}

model::ledger RestoreGuarantee(model::ledger ledger,
                               const model::guarantee_id& id,
                               const model::guarantee_status& status) {
  ledger.guarantees.Put(id, status);
  if (!status.shortfall.empty())
    ledger.unmet_guarantees.insert(id);
  if (status.claimed_by) {
    const model::placement placed = *ledger.placements.Find(*status.claimed_by);
    return ChangeLeftover(std::move(ledger), status, placed, 1);
  }
  return ChangeReservation(std::move(ledger), status.capacity, status.workers,
                           reservation_change::kTake);
}

fold_step Unclaim(fold_step step,
                  const model::job_id& job,
                  const model::placement& placed) {
  const model::guarantee_status* present =
      step.ledger.guarantees.Find(*placed.claims);
  if (present == nullptr || present->claimed_by != job)
    return step;
  const model::guarantee_status status = *present;
  step.ledger = ChangeLeftover(std::move(step.ledger), status, placed, -1);
  return Reserve(std::move(step), *placed.claims, status.capacity);
}

}  // namespace parsleyhitch::scheduler
