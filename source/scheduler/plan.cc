// The product's placement policy.

#include "scheduler/plan.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "scheduler/job_rules.h"
#include "scheduler/plan_board.h"
#include "scheduler/plan_reserve.h"
#include "scheduler/plan_search.h"

namespace parsleyhitch::scheduler {

namespace {

// Shapes that found no room in this plan, with the shortest run time that
// didn't.
struct sought_shape {
  const model::shape capacity;
  const bool preemptible = false;

  bool operator<(const sought_shape& other) const {
    return std::tie(capacity.gang_size, capacity.accelerators,
                    capacity.nearness, preemptible) <
           std::tie(other.capacity.gang_size, other.capacity.accelerators,
                    other.capacity.nearness, other.preemptible);
  }
};

using failed_shapes = std::map<sought_shape, model::duration>;

bool IsKnownToFail(const failed_shapes& failed,
                   const model::job_spec& spec,
                   model::duration run_time) {
  const auto found =
      failed.find({.capacity = spec.capacity, .preemptible = spec.preemptible});
  return found != failed.end() && run_time >= found->second;
}

void NoteFailed(failed_shapes& failed,
                const model::job_spec& spec,
                model::duration run_time) {
  const sought_shape shape{.capacity = spec.capacity,
                           .preemptible = spec.preemptible};
  const auto [found, inserted] = failed.emplace(shape, run_time);
  if (!inserted)
    found->second = std::min(found->second, run_time);
}

std::vector<model::worker_id> FindNow(const plan_board& board,
                                      const sought_job& job) {
  const model::shape& shape = job.spec.capacity;
  const headroom room = [&](const model::worker_id& worker) {
    return RoomNow(board, job, worker);
  };
  return FindWorkers(*board.ledger, shape, room, shape.accelerators,
                     fit::kBest);
}

bool MayPreempt(const plan_board& board, const model::job_status& job) {
  if (job.spec.preemptible)
    return false;
  if (job.spec.priority >= board.rules->limits.urgent_priority)
    return true;
  return board.now - job.submitted_at >= board.rules->limits.defragment_after;
}

std::vector<model::worker_id> FindAfterPreemption(const plan_board& board,
                                                  const sought_job& job) {
  const headroom room = [&](const model::worker_id& worker) {
    return RoomAfterPreemption(board, job, worker);
  };
  return FindWorkers(*board.ledger, job.spec.capacity, room, 0, fit::kBest);
}

// What a job gets that has no room now: preemption, or a reserved start.
plan_board MakeRoomLater(plan_board board,
                         const model::job_id& id,
                         const model::job_status& status,
                         std::uint32_t& reserved_starts) {
  const sought_job job{.id = id, .spec = status.spec};
  if (MayPreempt(board, status)) {
    const std::vector<model::worker_id> workers =
        FindAfterPreemption(board, job);
    if (!workers.empty())
      return PreemptFor(std::move(board), job.spec, workers);
  }
  if (reserved_starts == 0)
    return board;
  --reserved_starts;
  return ReserveStart(std::move(board), job);
}

// Guaranteed claims go first: what they reclaim must not be given away again.
plan_board PlanGuarantees(plan_board board, std::set<model::job_id>& handled) {
  std::uint32_t scanned = 0;
  for (const model::queue_position& position : board.ledger->waiting) {
    if (++scanned > board.rules->limits.plan_scan)
      break;
    const model::job_spec& spec = board.ledger->jobs.Find(position.job)->spec;
    const std::optional<model::guarantee_id> id = GuaranteeFor(board, spec);
    if (!id || !QuotaAllows(board, spec))
      continue;
    board = ClaimGuarantee(std::move(board), {.id = position.job, .spec = spec},
                           *id);
    handled.insert(position.job);
  }
  return board;
}

// Short jobs give their place back soon, so they cost longer work little;
// behind it they would wait many times their own length.
bool IsShort(const plan_board& board, const model::job_status& job) {
  return job.spec.capacity.gang_size == 1 &&
         ExpectedRunTime(*board.ledger, job.spec) <=
             board.rules->limits.short_job;
}

plan_board PlanShortJobs(plan_board board, std::set<model::job_id>& handled) {
  failed_shapes failed;
  std::uint32_t scanned = 0;
  for (const model::queue_position& position : board.ledger->waiting) {
    if (++scanned > board.rules->limits.plan_scan)
      break;
    const model::job_status& job = *board.ledger->jobs.Find(position.job);
    const bool skipped =
        handled.contains(position.job) || !IsShort(board, job) ||
        IsKnownToFail(failed, job.spec, model::duration::zero());
    if (skipped || !QuotaAllows(board, job.spec))
      continue;
    const sought_job sought{.id = position.job, .spec = job.spec};
    const std::vector<model::worker_id> workers = FindNow(board, sought);
    if (workers.empty()) {
      NoteFailed(failed, job.spec, model::duration::zero());
      continue;
    }
    board = PlaceOn(std::move(board), sought, workers);
    handled.insert(position.job);
  }
  return board;
}

}  // namespace

std::vector<model::record> PlanPlacements(const model::ledger& ledger,
                                          model::timestamp now,
                                          const plan_rules& rules) {
  std::set<model::job_id> handled;
  plan_board board{.ledger = &ledger, .rules = &rules, .now = now};
  board = PlanGuarantees(std::move(board), handled);
  board = PlanShortJobs(std::move(board), handled);
  failed_shapes failed;
  std::uint32_t reserved_starts = rules.limits.reserved_starts;
  std::uint32_t scanned = 0;
  for (const model::queue_position& position : ledger.waiting) {
    if (++scanned > rules.limits.plan_scan)
      break;
    const model::job_status& job = *ledger.jobs.Find(position.job);
    if (handled.contains(position.job) || !QuotaAllows(board, job.spec))
      continue;
    const model::duration run_time = ExpectedRunTime(ledger, job.spec);
    const bool hopeless = IsKnownToFail(failed, job.spec, run_time);
    const std::vector<model::worker_id> workers =
        hopeless ? std::vector<model::worker_id>()
                 : FindNow(board, {.id = position.job, .spec = job.spec});
    if (!workers.empty()) {
      board = PlaceOn(std::move(board), {.id = position.job, .spec = job.spec},
                      workers);
      continue;
    }
    NoteFailed(failed, job.spec, run_time);
    board = MakeRoomLater(std::move(board), position.job, job, reserved_starts);
  }
  return std::move(board.records);
}

}  // namespace parsleyhitch::scheduler
