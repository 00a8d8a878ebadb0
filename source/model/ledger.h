// The ledger: the replicated state that results from applying the log's records
// in order. It depends on nothing else, so entries that have applied the same
// records hold equal ledgers.

#ifndef PARSLEYHITCH_MODEL_LEDGER_H_
#define PARSLEYHITCH_MODEL_LEDGER_H_

#include <cstdint>
#include <set>
#include <utility>

#include "model/identifier.h"
#include "model/job.h"
#include "model/ledger_values.h"
#include "model/manifest.h"
#include "model/time.h"
#include "model/value_cell.h"
#include "model/value_table.h"

namespace parsleyhitch::model {

struct ledger {
  // The offset of the next batch to apply.
  std::uint64_t next_offset = 0;
  // The highest time of any applied batch.
  timestamp clock;
  value_table<writer, std::uint64_t> last_sequence;

  value_cell<manifest> in_force;

  value_table<worker_id, worker_status> workers;
  value_table<worker_id, capacity> worker_usage;
  value_table<worker_id, std::set<job_id>> jobs_by_worker;
  // Index of the live workers by rack, each set ordered by free accelerators.
  value_table<rack_key, std::set<placement_candidate>> racks;
  // `accelerators_firm` and `accelerators_soft` are sums over `worker_usage`;
  // `accelerators_total` sums the accelerators of workers that are not lost.
  std::uint64_t accelerators_total = 0;
  std::uint64_t accelerators_firm = 0;
  std::uint64_t accelerators_soft = 0;

  value_table<job_id, job_status> jobs;
  // Exactly the jobs in phase holding, starting, running or stopping.
  value_table<job_id, placement> placements;
  // Exactly the jobs in phase waiting.
  std::set<queue_position> waiting;
  std::set<std::pair<timestamp, job_id>> ended;
  value_table<scoped_key, job_key> job_keys;
  value_table<workspace_id, std::uint64_t> accelerators_by_workspace;
  value_table<work_kind, run_time_estimate> estimates;

  value_table<guarantee_id, guarantee_status> guarantees;
  // Guarantees that are neither reserved nor claimed, for want of capacity.
  std::set<guarantee_id> unmet_guarantees;

  value_table<scoped_key, request_claim> claims;
  std::set<std::pair<timestamp, scoped_key>> claims_by_time;

  bool operator==(const ledger&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_LEDGER_H_
