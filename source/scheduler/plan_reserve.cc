// The earliest start is found by bisection over the times at which workers are
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

std::vector<expected_release> ReleasesOn(const plan_board& board,
                                         const model::worker_id& worker) {
  std::vector<expected_release> releases;
  const std::set<model::job_id>* tasks =
      board.ledger->jobs_by_worker.Find(worker);
  if (tasks == nullptr)
    return releases;
  for (const model::job_id& id : *tasks) {
    const model::job_status& job = *board.ledger->jobs.Find(id);
    releases.push_back({.at = ExpectedEnd(*board.ledger, job, board.now),
                        .accelerators = job.spec.capacity.accelerators});
  }
  std::ranges::sort(releases, {}, &expected_release::at);
  return releases;
}

// When the worker is expected to have room for a member; nothing when never.
std::optional<model::timestamp> FreeFrom(const plan_board& board,
                                         const sought_job& job,
                                         const model::worker_id& worker) {
  const model::job_spec& spec = job.spec;
  if (board.kept_from.Contains(worker))
    return {};
  const std::uint32_t wanted = spec.capacity.accelerators;
  if (!spec.preemptible && RoomAfterPreemption(board, job, worker) < wanted) {
    const model::capacity use = UseOf(*board.ledger, worker);
    const std::uint32_t total =
        board.ledger->workers.Find(worker)->spec.accelerators;
    if (use.reserved + wanted > total)
      return {};
  }
  std::uint32_t room = FreeOf(*board.ledger, worker);
  const planned_use* planned = board.planned.Find(worker);
  if (planned != nullptr)
    room -= std::min(room, planned->firm + planned->soft);
  if (room >= wanted)
    return board.now;
  for (const expected_release& release : ReleasesOn(board, worker)) {
    room += release.accelerators;
    if (room >= wanted)
      return release.at;
  }
  return {};
}

free_times FreeTimes(const plan_board& board, const sought_job& job) {
  free_times times;
  for (const auto& [rack, slots] : board.ledger->racks) {
    for (const model::placement_candidate& slot : slots) {
      const std::optional<model::timestamp> from =
          FreeFrom(board, job, slot.worker);
      if (from)
        times.emplace(slot.worker, *from);
    }
  }
  return times;
}

std::vector<model::worker_id> WorkersFreeBy(const plan_board& board,
                                            const model::job_spec& spec,
                                            const free_times& times,
                                            model::timestamp by) {
  const headroom room = [&](const model::worker_id& worker) -> std::uint32_t {
    const auto found = times.find(worker);
    const bool free = found != times.end() && found->second <= by;
    return free ? spec.capacity.accelerators : 0;
  };
  return FindWorkers(*board.ledger, spec.capacity, room, 0, fit::kBest);
}

}  // namespace

plan_board ReserveStart(plan_board board, const sought_job& job) {
  const model::job_spec& spec = job.spec;
  const free_times times = FreeTimes(board, job);
  std::vector<model::timestamp> instants;
  for (const auto& [worker, at] : times)
    instants.push_back(at);
  std::ranges::sort(instants);
  const auto repeats = std::unique(instants.begin(), instants.end());
  instants.erase(repeats, instants.end());
  const auto start =
      std::ranges::partition_point(instants, [&](model::timestamp by) {
        return WorkersFreeBy(board, spec, times, by).empty();
      });
  if (start == instants.end())
    return board;
  for (const model::worker_id& worker :
       WorkersFreeBy(board, spec, times, *start))
    board.kept_from.Put(worker, *start);
  return board;
}

}  // namespace parsleyhitch::scheduler
