// Keeps `use`, `racks` and the totals of the ledger consistent with one
// another.

#include "scheduler/capacity.h"

#include <set>
#include <utility>

namespace parsleyhitch::scheduler {

namespace {

std::uint32_t Adjusted(std::uint32_t value, bool applies, std::int32_t change) {
  if (!applies)
    return value;
  return static_cast<std::uint32_t>(static_cast<std::int32_t>(value) + change);
}

model::rack_key RackOf(const model::worker_spec& spec) {
  return {.failure_domain = spec.failure_domain, .rack = spec.rack};
}

// The rack index holds live workers only: others take no new placements.
model::ledger RemoveFromRackIndex(model::ledger ledger,
                                  const model::worker_id& worker) {
  const model::worker_status* status = ledger.workers.Find(worker);
  if (status == nullptr || status->phase != model::worker_phase::kLive)
    return ledger;
  const model::rack_key rack = RackOf(status->spec);
  std::set<model::placement_candidate> candidates = *ledger.racks.Find(rack);
  candidates.erase(
      {.free = FreeAcceleratorsOf(ledger, worker), .worker = worker});
  if (candidates.empty()) {
    ledger.racks.Erase(rack);
    return ledger;
  }
  ledger.racks.Put(rack, std::move(candidates));
  return ledger;
}

model::ledger AddToRackIndex(model::ledger ledger,
                             const model::worker_id& worker) {
  const model::worker_status* status = ledger.workers.Find(worker);
  if (status == nullptr || status->phase != model::worker_phase::kLive)
    return ledger;
  const model::rack_key rack = RackOf(status->spec);
  const std::set<model::placement_candidate>* present = ledger.racks.Find(rack);
  std::set<model::placement_candidate> candidates;
  if (present != nullptr)
    candidates = *present;
  candidates.insert(
      {.free = FreeAcceleratorsOf(ledger, worker), .worker = worker});
  ledger.racks.Put(rack, std::move(candidates));
  return ledger;
}

std::uint32_t CountedAccelerators(const model::worker_status* status) {
  if (status == nullptr || status->phase == model::worker_phase::kLost)
    return 0;
  return status->spec.accelerators;
}

}  // namespace

model::capacity UseOf(const model::ledger& ledger,
                      const model::worker_id& worker) {
  const model::capacity* use = ledger.worker_usage.Find(worker);
  return use == nullptr ? model::capacity{} : *use;
}

std::uint32_t FreeAcceleratorsOf(const model::ledger& ledger,
                                 const model::worker_id& worker) {
  const model::worker_status* status = ledger.workers.Find(worker);
  if (status == nullptr)
    return 0;
  const model::capacity use = UseOf(ledger, worker);
  return status->spec.accelerators - use.firm - use.soft;
}

model::ledger AdjustUse(model::ledger ledger,
                        const model::worker_id& worker,
                        use_kind kind,
                        std::int32_t change) {
  const model::capacity old = UseOf(ledger, worker);
  const bool indexed = kind != use_kind::kReserved;
  if (indexed)
    ledger = RemoveFromRackIndex(std::move(ledger), worker);
  ledger.worker_usage.Put(
      worker, {.firm = Adjusted(old.firm, kind == use_kind::kFirm, change),
               .soft = Adjusted(old.soft, kind == use_kind::kSoft, change),
               .reserved = Adjusted(old.reserved, kind == use_kind::kReserved,
                                    change)});
  if (kind == use_kind::kFirm)
    ledger.accelerators_firm += static_cast<std::uint64_t>(change);
  if (kind == use_kind::kSoft)
    ledger.accelerators_soft += static_cast<std::uint64_t>(change);
  if (indexed)
    ledger = AddToRackIndex(std::move(ledger), worker);
  return ledger;
}

model::ledger PutWorker(model::ledger ledger, model::worker_status status) {
  const model::worker_id worker = status.spec.worker;
  ledger = RemoveFromRackIndex(std::move(ledger), worker);
  ledger.accelerators_total -= CountedAccelerators(ledger.workers.Find(worker));
  ledger.accelerators_total += CountedAccelerators(&status);
  ledger.workers.Put(worker, std::move(status));
  if (!ledger.worker_usage.Contains(worker))
    ledger.worker_usage.Put(worker, {});
  return AddToRackIndex(std::move(ledger), worker);
}

model::ledger DropWorker(model::ledger ledger, const model::worker_id& worker) {
  ledger = RemoveFromRackIndex(std::move(ledger), worker);
  ledger.accelerators_total -= CountedAccelerators(ledger.workers.Find(worker));
  ledger.workers.Erase(worker);
  ledger.worker_usage.Erase(worker);
  ledger.jobs_by_worker.Erase(worker);
  return ledger;
}

}  // namespace parsleyhitch::scheduler
