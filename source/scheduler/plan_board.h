// The planner's working view of the fleet: the ledger, what this plan has
// already given away, and which workers are kept for a later start.

#ifndef PARSLEYHITCH_SCHEDULER_PLAN_BOARD_H_
#define PARSLEYHITCH_SCHEDULER_PLAN_BOARD_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "model/ledger.h"
#include "model/record.h"
#include "model/value_table.h"
#include "scheduler/hooks.h"
#include "scheduler/plan_search.h"

namespace parsleyhitch::scheduler {

// What one plan takes of a worker beyond the ledger.
struct planned_use {
  const std::uint32_t firm = 0;
  const std::uint32_t soft = 0;
  bool operator==(const planned_use&) const = default;
};

struct plan_board {
  // Never null.
  const model::ledger* ledger = nullptr;
  const plan_rules* rules = nullptr;
  model::timestamp now;

  model::value_table<model::worker_id, planned_use> planned;
  // A job that starts on such a worker must be expected to end before this
  // time.
  model::value_table<model::worker_id, model::timestamp> kept_from;
  model::value_table<model::workspace_id, std::uint64_t> planned_by_workspace;
  std::set<model::guarantee_id> claimed;
  std::set<model::job_id> preempted;
  std::vector<model::record> records;
};

// The job that a search is for.
struct sought_job {
  const model::job_id& id;
  const model::job_spec& spec;
};

// How much of a worker the job may take now; the basis of every search.
std::uint32_t RoomNow(const plan_board& board,
                      const sought_job& job,
                      const model::worker_id& worker);

// The same, were all preemptible work moved off the worker.
std::uint32_t RoomAfterPreemption(const plan_board& board,
                                  const sought_job& job,
                                  const model::worker_id& worker);

// True when the quota still allows the job beside what this plan places.
bool QuotaAllows(const plan_board& board, const model::job_spec& spec);

// Adds the placement to the plan.
plan_board PlaceOn(plan_board board,
                   const sought_job& job,
                   const std::vector<model::worker_id>& workers);

// Adds the preemption of whatever preemptible work leaves too little room for a
// member on the workers, and keeps the room from the rest of the plan.
plan_board PreemptFor(plan_board board,
                      const model::job_spec& spec,
                      const std::vector<model::worker_id>& workers);

// The unclaimed guarantee that the job would claim; nothing when none fits.
std::optional<model::guarantee_id> GuaranteeFor(const plan_board& board,
                                                const model::job_spec& spec);

// Places the job on its workspace's guaranteed shape; while borrowed work
// stands there, reclaims it first.
plan_board ClaimGuarantee(plan_board board,
                          const sought_job& job,
                          const model::guarantee_id& id);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_PLAN_BOARD_H_
