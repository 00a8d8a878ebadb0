// Rules for jobs: quota, phases, allocation and expected run times.

#include "scheduler/job_rules.h"

#include <algorithm>
#include <set>
#include <utility>

#include "scheduler/capacity.h"
#include "scheduler/manifest_rules.h"

namespace parsleyhitch::scheduler {

namespace {

constexpr std::int64_t kPermille = 1000;

use_kind UseKindOf(const model::placement& placed) {
  return placed.firm ? use_kind::kFirm : use_kind::kSoft;
}

model::ledger AddTask(model::ledger ledger,
                      const model::worker_id& worker,
                      const model::job_id& job) {
  const std::set<model::job_id>* present = ledger.jobs_by_worker.Find(worker);
  std::set<model::job_id> tasks;
  if (present != nullptr)
    tasks = *present;
  tasks.insert(job);
  ledger.jobs_by_worker.Put(worker, std::move(tasks));
  return ledger;
}

model::ledger RemoveTask(model::ledger ledger,
                         const model::worker_id& worker,
                         const model::job_id& job) {
  std::set<model::job_id> tasks = *ledger.jobs_by_worker.Find(worker);
  tasks.erase(job);
  if (tasks.empty()) {
    ledger.jobs_by_worker.Erase(worker);
    return ledger;
  }
  ledger.jobs_by_worker.Put(worker, std::move(tasks));
  return ledger;
}

model::ledger AdjustWorkspaceUse(model::ledger ledger,
                                 const model::workspace_id& owner,
                                 std::int64_t change) {
  const std::uint64_t* used = ledger.accelerators_by_workspace.Find(owner);
  const std::uint64_t before = used == nullptr ? 0 : *used;
  const std::uint64_t after = before + static_cast<std::uint64_t>(change);
  if (after == 0) {
    ledger.accelerators_by_workspace.Erase(owner);
    return ledger;
  }
  ledger.accelerators_by_workspace.Put(owner, after);
  return ledger;
}

}  // namespace

bool WithinQuota(const model::ledger& ledger, const model::job_spec& spec) {
  const model::manifest* manifest = ledger.in_force.Get();
  if (manifest == nullptr)
    return false;
  const std::uint64_t wanted =
      std::uint64_t{spec.capacity.gang_size} * spec.capacity.accelerators;
  const model::workspace* current = FindWorkspace(*manifest, spec.owner);
  while (current != nullptr) {
    std::uint64_t used = 0;
    for (const model::workspace& each : manifest->workspaces) {
      const std::uint64_t* own = ledger.accelerators_by_workspace.Find(each.id);
      const bool counts = each.id == current->id || each.parent == current->id;
      used += counts && own != nullptr ? *own : 0;
    }
    if (current->quota_accelerators != 0 &&
        used + wanted > current->quota_accelerators)
      return false;
    current = current->parent.empty()
                  ? nullptr
                  : FindWorkspace(*manifest, current->parent);
  }
  return true;
}

bool IsTerminalState(model::task_state state) {
  return state == model::task_state::kFinished ||
         state == model::task_state::kFailed ||
         state == model::task_state::kRefused ||
         state == model::task_state::kStopped;
}

bool AllReached(const model::placement& placed, model::task_state wanted) {
  return std::ranges::all_of(placed.members, [&](const auto& each) {
    return each.state == wanted || each.state == model::task_state::kRunning ||
           each.state == model::task_state::kFinished;
  });
}

const model::member* MemberOn(const model::placement& placed,
                              const model::worker_id& worker) {
  const auto found =
      std::ranges::find(placed.members, worker, &model::member::worker);
  return found == placed.members.end() ? nullptr : &*found;
}

bool IsTerminalPhase(model::job_phase phase) {
  return phase == model::job_phase::kFinished ||
         phase == model::job_phase::kFailed ||
         phase == model::job_phase::kCancelled;
}

bool CanBeStopped(model::job_phase phase) {
  return phase == model::job_phase::kHolding ||
         phase == model::job_phase::kStarting ||
         phase == model::job_phase::kRunning;
}

model::queue_position QueuePositionOf(const model::job_id& id,
                                      const model::job_status& job) {
  return {.priority = job.spec.priority, .submitted = job.submitted, .job = id};
}

model::ledger ChangeAllocation(model::ledger ledger,
                               const model::job_id& job,
                               const model::placement& placed,
                               const model::worker_id& worker,
                               allocation_change kind) {
  const bool allocate = kind == allocation_change::kAllocate;
  const auto amount = static_cast<std::int32_t>(placed.accelerators);
  const std::int32_t change = allocate ? amount : -amount;
  ledger = AdjustUse(std::move(ledger), worker, UseKindOf(placed), change);
  const model::workspace_id owner = ledger.jobs.Find(job)->spec.owner;
  ledger = AdjustWorkspaceUse(std::move(ledger), owner, change);
  return allocate ? AddTask(std::move(ledger), worker, job)
                  : RemoveTask(std::move(ledger), worker, job);
}

model::duration ExpectedRunTime(const model::ledger& ledger,
                                const model::job_spec& spec) {
  const model::run_time_estimate* estimate =
      ledger.estimates.Find({.owner = spec.owner, .kind = spec.kind});
  if (estimate == nullptr)
    return spec.declared_run_time;
  return spec.declared_run_time * estimate->ratio_permille / kPermille;
}

model::timestamp ExpectedEnd(const model::ledger& ledger,
                             const model::job_status& job,
                             model::timestamp now) {
  const model::timestamp end = job.since + ExpectedRunTime(ledger, job.spec);
  if (end > now)
    return end;
  return now + std::max(now - job.since, model::duration(1));
}

}  // namespace parsleyhitch::scheduler
