// The planner's arithmetic on top of the ledger's.

#include "scheduler/plan_board.h"

#include <algorithm>
#include <utility>

#include "scheduler/capacity.h"
#include "scheduler/guarantees.h"
#include "scheduler/job_rules.h"

namespace parsleyhitch::scheduler {

namespace {

std::uint32_t Minus(std::uint32_t value, std::uint32_t taken) {
  return value > taken ? value - taken : 0;
}

planned_use PlannedOn(const plan_board& board, const model::worker_id& worker) {
  const planned_use* planned = board.planned.Find(worker);
  return planned == nullptr ? planned_use{} : *planned;
}

// A worker under an ejection hold gets nothing; after the hold, one
// single-member job on trial. A job does not go back to where it has just
// failed.
bool IsOpenTo(const plan_board& board,
              const sought_job& job,
              const model::worker_status& status) {
  if (status.ejected_until > board.now)
    return false;
  if (status.last_failed == job.id)
    return false;
  if (status.failures < board.rules->limits.worker_failures_to_eject)
    return true;
  return job.spec.capacity.gang_size == 1 &&
         !board.ledger->jobs_by_worker.Contains(status.spec.worker);
}

bool EndsBeforeKept(const plan_board& board,
                    const model::job_spec& spec,
                    const model::worker_id& worker) {
  const model::timestamp* kept = board.kept_from.Find(worker);
  if (kept == nullptr)
    return true;
  return board.now + ExpectedRunTime(*board.ledger, spec) <= *kept;
}

// What firm work may take of a worker, were its preemptible work gone; 0 when
// that is less than the job wants.
std::uint32_t FirmRoom(const plan_board& board,
                       const model::job_spec& spec,
                       const model::worker_status& status) {
  const model::capacity use = UseOf(*board.ledger, status.spec.worker);
  const planned_use planned = PlannedOn(board, status.spec.worker);
  const model::capacity after{.firm = use.firm + planned.firm,
                              .soft = use.soft + planned.soft,
                              .reserved = use.reserved};
  const std::uint32_t total = status.spec.accelerators;
  const std::uint32_t wanted = spec.capacity.accelerators;
  if (after.firm + wanted > total)
    return 0;
  if (!board.rules->leaves_guarantees(after, total, wanted))
    return 0;
  return std::max(wanted, Minus(total, after.firm + after.reserved));
}

std::uint32_t UnplannedFree(const plan_board& board,
                            const model::worker_id& worker) {
  const planned_use planned = PlannedOn(board, worker);
  return Minus(FreeOf(*board.ledger, worker), planned.firm + planned.soft);
}

plan_board Use(plan_board board,
               const model::worker_id& worker,
               bool firm,
               std::uint32_t accelerators) {
  const planned_use old = PlannedOn(board, worker);
  board.planned.Put(worker, {.firm = old.firm + (firm ? accelerators : 0),
                             .soft = old.soft + (firm ? 0 : accelerators)});
  return board;
}

// Preempts soft jobs on one worker until a member would fit.
plan_board PreemptOn(plan_board board,
                     const model::worker_id& worker,
                     std::uint32_t accelerators) {
  std::uint32_t room = UnplannedFree(board, worker);
  const std::set<model::job_id>* tasks =
      board.ledger->jobs_by_worker.Find(worker);
  if (tasks == nullptr)
    return board;
  for (const model::job_id& job : *tasks) {
    if (room >= accelerators)
      return board;
    const model::placement& placed = *board.ledger->placements.Find(job);
    if (placed.firm)
      continue;
    room += placed.accelerators;
    const model::job_phase phase = board.ledger->jobs.Find(job)->phase;
    if (!CanBeStopped(phase) || !board.preempted.insert(job).second)
      continue;
    board.records.emplace_back(
        model::job_preempted{.job = job, .token = placed.token});
  }
  return board;
}

bool AllHaveFree(const plan_board& board,
                 const std::vector<model::worker_id>& workers,
                 std::uint32_t accelerators) {
  return std::ranges::all_of(workers, [&](const model::worker_id& worker) {
    return UnplannedFree(board, worker) >= accelerators;
  });
}

}  // namespace

std::uint32_t RoomNow(const plan_board& board,
                      const sought_job& job,
                      const model::worker_id& worker) {
  const model::worker_status& status = *board.ledger->workers.Find(worker);
  if (!IsOpenTo(board, job, status) || !EndsBeforeKept(board, job.spec, worker))
    return 0;
  const std::uint32_t free = UnplannedFree(board, worker);
  if (job.spec.preemptible)
    return free;
  return std::min(free, FirmRoom(board, job.spec, status));
}

std::uint32_t RoomAfterPreemption(const plan_board& board,
                                  const sought_job& job,
                                  const model::worker_id& worker) {
  const model::worker_status& status = *board.ledger->workers.Find(worker);
  if (!IsOpenTo(board, job, status))
    return 0;
  return FirmRoom(board, job.spec, status);
}

bool QuotaAllows(const plan_board& board, const model::job_spec& spec) {
  // The fold checks the whole chain; this keeps one plan from proposing what
  // its own earlier placements already use up.
  if (board.planned_by_workspace.Contains(spec.owner)) {
    const std::uint64_t planned = *board.planned_by_workspace.Find(spec.owner);
    const std::uint64_t wanted =
        planned +
        std::uint64_t{spec.capacity.gang_size} * spec.capacity.accelerators;
    const model::job_spec together{
        .owner = spec.owner,
        .capacity = {.gang_size = 1,
                     .accelerators = static_cast<std::uint32_t>(wanted)}};
    return WithinQuota(*board.ledger, together);
  }
  return WithinQuota(*board.ledger, spec);
}

plan_board PlaceOn(plan_board board,
                   const sought_job& job,
                   const std::vector<model::worker_id>& workers) {
  const model::job_spec& spec = job.spec;
  for (const model::worker_id& worker : workers) {
    board = Use(std::move(board), worker, !spec.preemptible,
                spec.capacity.accelerators);
  }
  const std::uint64_t* planned = board.planned_by_workspace.Find(spec.owner);
  const std::uint64_t before = planned == nullptr ? 0 : *planned;
  board.planned_by_workspace.Put(
      spec.owner, before + std::uint64_t{spec.capacity.gang_size} *
                               spec.capacity.accelerators);
  board.records.emplace_back(
      model::job_placed{.job = job.id, .workers = workers});
  return board;
}

plan_board PreemptFor(plan_board board,
                      const model::job_spec& spec,
                      const std::vector<model::worker_id>& workers) {
  for (const model::worker_id& worker : workers) {
    board = PreemptOn(std::move(board), worker, spec.capacity.accelerators);
    const std::uint32_t kept =
        std::min(UnplannedFree(board, worker), spec.capacity.accelerators);
    board = Use(std::move(board), worker, true, kept);
  }
  return board;
}

std::optional<model::guarantee_id> GuaranteeFor(const plan_board& board,
                                                const model::job_spec& spec) {
  return ClaimableBy(*board.ledger, spec, board.claimed);
}

plan_board ClaimGuarantee(plan_board board,
                          const sought_job& job,
                          const model::guarantee_id& id) {
  const model::shape& capacity = job.spec.capacity;
  board.claimed.insert(id);
  const std::vector<model::worker_id>& reserved =
      board.ledger->guarantees.Find(id)->workers;
  const std::vector<model::worker_id> workers(
      reserved.begin(),
      reserved.begin() + static_cast<std::ptrdiff_t>(capacity.gang_size));
  if (AllHaveFree(board, workers, capacity.accelerators))
    return PlaceOn(std::move(board), job, workers);
  return PreemptFor(std::move(board), job.spec, workers);
}

}  // namespace parsleyhitch::scheduler
