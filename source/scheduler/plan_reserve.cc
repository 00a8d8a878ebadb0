// Finds the earliest start by binary search over the times at which workers are
// expected to have room.

#include "scheduler/plan_reserve.h"

#include <algorithm>
#include <map>
#include <utility>

#include "scheduler/capacity.h"
#include "scheduler/job_rules.h"

namespace parsleyhitch::scheduler {

namespace {

using free_times = std::map<model::worker_id, model::timestamp>;

struct expected_release {
  model::timestamp at;
  std::uint32_t accelerators = 0;
};

std::vector<expected_release> ReleasesOn(const plan_state& plan,
                                         const model::worker_id& worker) {
  std::vector<expected_release> releases;
  const std::set<model::job_id>* tasks =
      plan.ledger->jobs_by_worker.Find(worker);
  if (tasks == nullptr)
    return releases;
  for (const model::job_id& id : *tasks) {
    const model::job_status& job = *plan.ledger->jobs.Find(id);
    releases.push_back({.at = ExpectedEnd(*plan.ledger, job, plan.now),
                        .accelerators = job.spec.capacity.accelerators});
  }
  std::ranges::sort(releases, {}, &expected_release::at);
  return releases;
}

// When the worker is expected to have room for one member; empty if never.
std::optional<model::timestamp> FreeFrom(const plan_state& plan,
                                         const placement_request& job,
                                         const model::worker_id& worker) {
  const model::job_spec& spec = job.spec;
  if (plan.reserved_start_at.Contains(worker))
    return {};
  const std::uint32_t wanted = spec.capacity.accelerators;
  if (!spec.preemptible && RoomAfterPreemption(plan, job, worker) < wanted) {
    const model::capacity use = UseOf(*plan.ledger, worker);
    const std::uint32_t total =
        plan.ledger->workers.Find(worker)->spec.accelerators;
    if (use.reserved + wanted > total)
      return {};
  }
  std::uint32_t room = FreeAcceleratorsOf(*plan.ledger, worker);
  const planned_use* planned = plan.planned.Find(worker);
  if (planned != nullptr)
    room -= std::min(room, planned->firm + planned->soft);
  if (room >= wanted)
    return plan.now;
  for (const expected_release& release : ReleasesOn(plan, worker)) {
    room += release.accelerators;
    if (room >= wanted)
      return release.at;
  }
  return {};
}

free_times FreeTimes(const plan_state& plan, const placement_request& job) {
  free_times times;
  for (const auto& [rack, candidates] : plan.ledger->racks) {
    for (const model::placement_candidate& each : candidates) {
      const std::optional<model::timestamp> from =
          FreeFrom(plan, job, each.worker);
      if (from)
        times.emplace(each.worker, *from);
    }
  }
  return times;
}

std::vector<model::worker_id> WorkersFreeBy(const plan_state& plan,
                                            const model::job_spec& spec,
                                            const free_times& times,
                                            model::timestamp by) {
  const headroom room = [&](const model::worker_id& worker) -> std::uint32_t {
    const auto found = times.find(worker);
    const bool free = found != times.end() && found->second <= by;
    return free ? spec.capacity.accelerators : 0;
  };
  return FindWorkers(*plan.ledger, spec.capacity, room, 0, fit::kBest);
}

}  // namespace

plan_state ReserveStart(plan_state plan, const placement_request& job) {
  const model::job_spec& spec = job.spec;
  const free_times times = FreeTimes(plan, job);
  std::vector<model::timestamp> start_times;
  for (const auto& [worker, at] : times)
    start_times.push_back(at);
  std::ranges::sort(start_times);
  const auto duplicates = std::unique(start_times.begin(), start_times.end());
  start_times.erase(duplicates, start_times.end());
  const auto start =
      std::ranges::partition_point(start_times, [&](model::timestamp by) {
        return WorkersFreeBy(plan, spec, times, by).empty();
      });
  if (start == start_times.end())
    return plan;
  for (const model::worker_id& worker :
       WorkersFreeBy(plan, spec, times, *start))
    plan.reserved_start_at.Put(worker, *start);
  return plan;
}

}  // namespace parsleyhitch::scheduler
