// Validation of manifests and jobs.

#include "scheduler/manifest_rules.h"

#include <set>
#include <string>
#include <utility>

#include "scheduler/guarantees.h"
#include "scheduler/plan_search.h"

namespace parsleyhitch::scheduler {

namespace {

constexpr std::uint32_t kMaxGangSize = 4096;
constexpr std::uint32_t kMaxAcceleratorsPerWorker = 64;
constexpr std::uint32_t kPermille = 1000;

std::string FieldPath(const std::string& list,
                      std::size_t index,
                      const std::string& field) {
  return "/" + list + "/" + std::to_string(index) + "/" + field;
}

void AddFinding(model::findings& found,
                std::string place,
                std::string message) {
  found.push_back({.place = std::move(place), .message = std::move(message)});
}

void CheckShape(model::findings& found,
                const std::string& place,
                const model::shape& shape) {
  if (shape.gang_size == 0 || shape.gang_size > kMaxGangSize)
    AddFinding(found, place + "/gang_size",
               "must be from 1 to " + std::to_string(kMaxGangSize));
  if (shape.accelerators == 0 ||
      shape.accelerators > kMaxAcceleratorsPerWorker) {
    AddFinding(
        found, place + "/accelerators",
        "must be from 1 to " + std::to_string(kMaxAcceleratorsPerWorker));
  }
}

bool HasParentCycle(const model::manifest& manifest,
                    const model::workspace& start) {
  std::set<model::workspace_id> seen;
  const model::workspace* current = &start;
  while (current != nullptr && !current->parent.empty()) {
    if (!seen.insert(current->id).second)
      return true;
    current = FindWorkspace(manifest, current->parent);
  }
  return false;
}

void CheckWorkspaces(model::findings& found, const model::manifest& manifest) {
  std::set<model::workspace_id> names;
  for (std::size_t i = 0; i < manifest.workspaces.size(); ++i) {
    const model::workspace& each = manifest.workspaces[i];
    if (each.id.empty())
      AddFinding(found, FieldPath("workspaces", i, "id"), "must not be empty");
    if (!names.insert(each.id).second)
      AddFinding(found, FieldPath("workspaces", i, "id"),
                 "'" + each.id.value() + "' is used twice");
    if (!each.parent.empty() &&
        FindWorkspace(manifest, each.parent) == nullptr) {
      AddFinding(found, FieldPath("workspaces", i, "parent"),
                 "no workspace '" + each.parent.value() + "'");
    }
    if (HasParentCycle(manifest, each))
      AddFinding(found, FieldPath("workspaces", i, "parent"),
                 "is part of a cycle");
    std::set<std::string> guarantees;
    for (std::size_t j = 0; j < each.guarantees.size(); ++j) {
      const std::string place =
          FieldPath("workspaces", i, "guarantees/") + std::to_string(j);
      if (!guarantees.insert(each.guarantees[j].name).second)
        AddFinding(found, place + "/name", "is used twice");
      CheckShape(found, place + "/capacity", each.guarantees[j].capacity);
    }
  }
}

void CheckServices(model::findings& found, const model::manifest& manifest) {
  std::set<model::service_id> names;
  for (std::size_t i = 0; i < manifest.services.size(); ++i) {
    const model::service& each = manifest.services[i];
    if (!names.insert(each.id).second)
      AddFinding(found, FieldPath("services", i, "id"),
                 "'" + each.id.value() + "' is used twice");
    if (FindWorkspace(manifest, each.owner) == nullptr) {
      AddFinding(found, FieldPath("services", i, "owner"),
                 "no workspace '" + each.owner.value() + "'");
    }
    if (each.default_deadline <= model::duration::zero())
      AddFinding(found, FieldPath("services", i, "default_deadline"),
                 "must be above 0 ms");
  }
}

void CheckObjectives(model::findings& found, const model::manifest& manifest) {
  for (std::size_t i = 0; i < manifest.objectives.size(); ++i) {
    const model::objective& each = manifest.objectives[i];
    if (FindService(manifest, each.service_name) == nullptr) {
      AddFinding(found, FieldPath("objectives", i, "service_name"),
                 "no service '" + each.service_name.value() + "'");
    }
    if (each.target_permille == 0 || each.target_permille >= kPermille)
      AddFinding(found, FieldPath("objectives", i, "target_permille"),
                 "must be from 1 to 999");
  }
}

// The ledger of the same fleet, without lost workers, when it runs nothing and
// has no reservations.
model::ledger IdleFleetOf(const model::ledger& ledger) {
  model::ledger idle;
  for (const auto& [worker, status] : ledger.workers) {
    if (status.phase != model::worker_phase::kLost)
      idle = PutWorker(std::move(idle), {.spec = status.spec});
  }
  return idle;
}

// True if the job fits beside all guaranteed shapes on a fleet that runs
// nothing. Preemptible jobs, and those that fit in a guarantee of their owner,
// always do.
bool FitsBesideGuarantees(const model::job_spec& spec,
                          const model::ledger& ledger) {
  if (spec.preemptible || FitsOwnerGuarantee(ledger, spec))
    return true;
  // The present reservations usually leave room. If they don't, all
  // guarantees are reserved anew on a fleet that runs nothing.
  if (FitsBesideReservations(ledger, spec.capacity))
    return true;
  fold_step trial{.ledger = IdleFleetOf(ledger), .changes = {}};
  trial.ledger.in_force.Put(*ledger.in_force.Get());
  trial = ApplyGuarantees(std::move(trial));
  return !FindReservable(trial.ledger, spec.capacity).empty();
}

}  // namespace

const model::workspace* FindWorkspace(const model::manifest& manifest,
                                      const model::workspace_id& id) {
  for (const model::workspace& each : manifest.workspaces) {
    if (each.id == id)
      return &each;
  }
  return nullptr;
}

const model::service* FindService(const model::manifest& manifest,
                                  const model::service_id& id) {
  for (const model::service& each : manifest.services) {
    if (each.id == id)
      return &each;
  }
  return nullptr;
}

model::findings CheckManifest(const model::manifest& manifest) {
  model::findings found;
  if (manifest.version <= manifest.base)
    AddFinding(found, "/version", "must be above the base");
  CheckWorkspaces(found, manifest);
  CheckServices(found, manifest);
  CheckObjectives(found, manifest);
  return found;
}

model::findings CheckAgainstFleet(const model::manifest& manifest,
                                  const model::ledger& ledger) {
  model::findings found;
  if (ledger.workers.empty())
    return found;
  fold_step trial{.ledger = IdleFleetOf(ledger), .changes = {}};
  trial.ledger.in_force.Put(manifest);
  trial = ApplyGuarantees(std::move(trial));
  for (const model::guarantee_id& id : trial.ledger.unmet_guarantees) {
    AddFinding(found,
               "/workspaces/" + id.owner.value() + "/guarantees/" + id.name,
               "the fleet can't hold this shape beside the other guarantees");
  }
  return found;
}

model::findings CheckJob(const model::job_spec& spec,
                         const model::ledger& ledger) {
  model::findings found;
  CheckShape(found, "/capacity", spec.capacity);
  if (spec.declared_run_time <= model::duration::zero())
    AddFinding(found, "/declared_run_time", "must be above 0 ms");
  const model::manifest* manifest = ledger.in_force.Get();
  const model::workspace* owner =
      manifest == nullptr ? nullptr : FindWorkspace(*manifest, spec.owner);
  if (owner == nullptr) {
    AddFinding(found, "/owner", "no workspace '" + spec.owner.value() + "'");
    return found;
  }
  const std::uint64_t wanted =
      std::uint64_t{spec.capacity.gang_size} * spec.capacity.accelerators;
  if (owner->quota_accelerators != 0 && wanted > owner->quota_accelerators)
    AddFinding(found, "/capacity", "is above the workspace's quota");
  if (!found.empty() || ledger.workers.empty())
    return found;
  if (!FitsInFleet(ledger, spec.capacity))
    AddFinding(found, "/capacity",
               "no part of the fleet could ever hold this shape");
  else if (!FitsBesideGuarantees(spec, ledger))
    AddFinding(found, "/capacity",
               "the guaranteed shapes never leave room for this shape");
  return found;
}

}  // namespace parsleyhitch::scheduler
