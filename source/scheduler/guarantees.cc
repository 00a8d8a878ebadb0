// Reservations are recomputed only for the shapes that a change affects.

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

constexpr char kNoRoomShortfall[] =
    "no adjacent workers with room beside firm work and other guarantees";

// Whether a shape's accelerators are reserved on its workers or released.
enum class reservation_change { kReserve, kRelease };

model::ledger ChangeReservation(model::ledger ledger,
                                const model::shape& shape,
                                const std::vector<model::worker_id>& workers,
                                reservation_change kind) {
  const auto amount = static_cast<std::int32_t>(shape.accelerators);
  const std::int32_t change =
      kind == reservation_change::kReserve ? amount : -amount;
  for (const model::worker_id& worker : workers)
    ledger = AdjustUse(std::move(ledger), worker, use_kind::kReserved, change);
  return ledger;
}

model::ledger ReleaseReservation(model::ledger ledger,
                                 const model::guarantee_status& status) {
  return ChangeReservation(std::move(ledger), status.capacity, status.workers,
                           reservation_change::kRelease);
}

fold_step MarkUnmet(fold_step step,
                    const model::guarantee_id& id,
                    const model::shape& shape) {
  const model::guarantee_status* old = step.ledger.guarantees.Find(id);
  const bool reported = old != nullptr && !old->shortfall.empty();
  step.ledger.guarantees.Put(
      id, {.capacity = shape, .shortfall = kNoRoomShortfall});
  step.ledger.unmet_guarantees.insert(id);
  if (!reported)
    step.changes.push_back(
        guarantee_unmet{.id = id, .shortfall = kNoRoomShortfall});
  return step;
}

// Reserves the shape on workers that have room, or marks it as unmet if there
// are none.
fold_step Reserve(fold_step step,
                  const model::guarantee_id& id,
                  const model::shape& shape) {
  const std::vector<model::worker_id> workers =
      FindReservable(step.ledger, shape);
  if (workers.empty())
    return MarkUnmet(std::move(step), id, shape);
  step.ledger = ChangeReservation(std::move(step.ledger), shape, workers,
                                  reservation_change::kReserve);
  step.ledger.unmet_guarantees.erase(id);
  step.ledger.guarantees.Put(id, {.capacity = shape, .workers = workers});
  return step;
}

// Accelerators of the shape that the claiming job doesn't use on the worker.
// They stay reserved.
std::uint32_t UnusedOn(const model::worker_id& worker,
                       const model::guarantee_status& status,
                       const model::placement& placed) {
  const std::uint32_t used =
      MemberOn(placed, worker) != nullptr ? placed.accelerators : 0;
  return status.capacity.accelerators - used;
}

// Reserves the accelerators that the claiming job doesn't use (`sign` 1) or
// releases them (`sign` -1).
model::ledger AdjustUnused(model::ledger ledger,
                           const model::guarantee_status& status,
                           const model::placement& placed,
                           std::int32_t sign) {
  for (const model::worker_id& worker : status.workers) {
    const auto unused =
        static_cast<std::int32_t>(UnusedOn(worker, status, placed));
    ledger = AdjustUse(std::move(ledger), worker, use_kind::kReserved,
                       sign * unused);
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
    step.ledger = AdjustUnused(std::move(step.ledger), status, placed, -1);
  }
  step.ledger.unmet_guarantees.erase(id);
  step.ledger.guarantees.Erase(id);
  return step;
}

std::uint64_t TotalAccelerators(const model::shape& shape) {
  return std::uint64_t{shape.gang_size} * shape.accelerators;
}

struct declared_guarantee {
  model::guarantee_id id;
  model::shape capacity;
};

// Large shapes are reserved first: small ones fit in the room that they leave.
std::vector<const declared_guarantee*> LargestFirst(
    const std::vector<declared_guarantee>& declared) {
  std::vector<const declared_guarantee*> order;
  order.reserve(declared.size());
  for (const declared_guarantee& each : declared)
    order.push_back(&each);
  std::ranges::stable_sort(order, [](const auto* left, const auto* right) {
    return TotalAccelerators(left->capacity) >
           TotalAccelerators(right->capacity);
  });
  return order;
}

std::vector<declared_guarantee> DeclaredIn(const model::manifest& manifest) {
  std::vector<declared_guarantee> declared;
  for (const model::workspace& owner : manifest.workspaces) {
    for (const model::guarantee& each : owner.guarantees) {
      declared.push_back({.id = {.owner = owner.id, .name = each.name},
                          .capacity = each.capacity});
    }
  }
  return declared;
}

bool Fits(const model::shape& inner, const model::shape& outer) {
  return inner.gang_size <= outer.gang_size &&
         inner.accelerators <= outer.accelerators &&
         inner.nearness <= outer.nearness;
}

}  // namespace

fold_step ApplyGuarantees(fold_step step) {
  const std::vector<declared_guarantee> declared =
      DeclaredIn(*step.ledger.in_force.Get());
  std::set<model::guarantee_id> unchanged;
  for (const declared_guarantee& each : declared) {
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
  for (const declared_guarantee* each : LargestFirst(declared)) {
    if (!unchanged.contains(each->id))
      step = Reserve(std::move(step), each->id, each->capacity);
  }
  return step;
}

fold_step RetryUnmetGuarantees(fold_step step) {
  const std::set<model::guarantee_id> unmet = step.ledger.unmet_guarantees;
  for (const model::guarantee_id& id : unmet) {
    const model::shape shape = step.ledger.guarantees.Find(id)->capacity;
    step = Reserve(std::move(step), id, shape);
  }
  return step;
}

fold_step MoveReservationsOff(fold_step step, const model::worker_id& worker) {
  std::vector<model::guarantee_id> affected;
  for (const auto& [id, status] : step.ledger.guarantees) {
    if (!status.claimed_by && std::ranges::count(status.workers, worker) > 0)
      affected.push_back(id);
  }
  for (const model::guarantee_id& id : affected) {
    const model::guarantee_status status = *step.ledger.guarantees.Find(id);
    step.ledger = ReleaseReservation(std::move(step.ledger), status);
    step = Reserve(std::move(step), id, status.capacity);
  }
  return step;
}

std::optional<model::guarantee_id> FindClaimableGuarantee(
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
    if (best && TotalAccelerators(status->capacity) >= best_size)
      continue;
    best.emplace(id);
    best_size = TotalAccelerators(status->capacity);
  }
  return best;
}

bool FitsOwnerGuarantee(const model::ledger& ledger,
                        const model::job_spec& spec) {
  const model::workspace* owner =
      FindWorkspace(*ledger.in_force.Get(), spec.owner);
  return std::ranges::any_of(owner->guarantees,
                             [&](const model::guarantee& each) {
                               return Fits(spec.capacity, each.capacity);
                             });
}

model::ledger MarkClaimed(model::ledger ledger,
                          const model::guarantee_id& id,
                          const model::job_id& job,
                          const model::placement& placed) {
  const model::guarantee_status status = *ledger.guarantees.Find(id);
  ledger = ReleaseReservation(std::move(ledger), status);
  // Other firm work must not take the part of the shape that the job doesn't
  // use.
  ledger = AdjustUnused(std::move(ledger), status, placed, 1);
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
    return AdjustUnused(std::move(ledger), status, placed, 1);
  }
  return ChangeReservation(std::move(ledger), status.capacity, status.workers,
                           reservation_change::kReserve);
}

fold_step ReleaseClaim(fold_step step,
                       const model::job_id& job,
                       const model::placement& placed) {
  const model::guarantee_status* present =
      step.ledger.guarantees.Find(*placed.claims);
  if (present == nullptr || present->claimed_by != job)
    return step;
  const model::guarantee_status status = *present;
  step.ledger = AdjustUnused(std::move(step.ledger), status, placed, -1);
  return Reserve(std::move(step), *placed.claims, status.capacity);
}

}  // namespace parsleyhitch::scheduler
