// The state of a plan under construction: the ledger, the capacity that the
// plan has allocated so far, and the workers reserved for a later start.

#ifndef PARSLEYHITCH_SCHEDULER_PLAN_STATE_H_
#define PARSLEYHITCH_SCHEDULER_PLAN_STATE_H_

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

// Accelerators of a worker that the plan allocates on top of the ledger's use.
struct planned_use {
  const std::uint32_t firm = 0;
  const std::uint32_t soft = 0;
  bool operator==(const planned_use&) const = default;
};

struct plan_state {
  // Never null.
  const model::ledger* ledger = nullptr;
  const plan_rules* rules = nullptr;
  model::timestamp now;

  model::value_table<model::worker_id, planned_use> planned;
  // By worker: the start reserved for another job. A job may be placed there
  // only if it is expected to end by this time.
  model::value_table<model::worker_id, model::timestamp> reserved_start_at;
  // Accelerators that the plan places, by workspace.
  model::value_table<model::workspace_id, std::uint64_t> planned_by_workspace;
  std::set<model::guarantee_id> claimed;
  std::set<model::job_id> preempted;
  std::vector<model::record> records;
};

// The job to find workers for.
struct placement_request {
  const model::job_id& id;
  const model::job_spec& spec;
};

// Accelerators of the worker that the job may take now.
std::uint32_t RoomNow(const plan_state& plan,
                      const placement_request& job,
                      const model::worker_id& worker);

// Accelerators of the worker that the job may take once all preemptible work
// there has been preempted.
std::uint32_t RoomAfterPreemption(const plan_state& plan,
                                  const placement_request& job,
                                  const model::worker_id& worker);

// True if the quota allows the job in addition to what this plan places.
bool QuotaAllows(const plan_state& plan, const model::job_spec& spec);

// Adds the placement to the plan.
plan_state PlaceOn(plan_state plan,
                   const placement_request& job,
                   const std::vector<model::worker_id>& workers);

// Preempts enough preemptible work on each of the workers to fit one member
// there, and marks the freed accelerators as used for the rest of the plan.
plan_state PreemptFor(plan_state plan,
                      const model::job_spec& spec,
                      const std::vector<model::worker_id>& workers);

// The unclaimed guarantee that the job would claim; empty if none fits.
std::optional<model::guarantee_id> GuaranteeFor(const plan_state& plan,
                                                const model::job_spec& spec);

// Places the job on the workers reserved for the guarantee. If preemptible work
// still uses them, preempts it instead, and a later plan places the job.
plan_state ClaimGuarantee(plan_state plan,
                          const placement_request& job,
                          const model::guarantee_id& id);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_PLAN_STATE_H_
