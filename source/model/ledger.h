// The ledger: what the log's records add up to. It is a function of the records
// alone, so entries that have folded the same records hold equal ledgers.

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
  // The offset of the next batch to fold.
  std::uint64_t next_offset = 0;
  // The highest time on any batch folded.
  timestamp clock;
  value_table<writer, std::uint64_t> last_sequence;

  value_cell<manifest> in_force;

  value_table<worker_id, worker_status> workers;
  value_table<worker_id, capacity> use;
  value_table<worker_id, std::set<job_id>> tasks_on;
  // Placeable workers (live) by rack; each set ordered by free accelerators.
  value_table<rack_name, std::set<free_slot>> racks;
  // Sums over `use`; `accelerators_total` counts workers that are not lost.
  std::uint64_t accelerators_total = 0;
  std::uint64_t accelerators_firm = 0;
  std::uint64_t accelerators_soft = 0;

  value_table<job_id, job_status> jobs;
  // Exactly the jobs in phases holding, starting, running and stopping.
  value_table<job_id, placement> placements;
  // Exactly the jobs in phase waiting.
  std::set<queue_position> waiting;
  std::set<std::pair<timestamp, job_id>> ended;
  value_table<scoped_key, job_key> job_keys;
  value_table<workspace_id, std::uint64_t> held_by_workspace;
  value_table<work_kind, run_time_estimate> estimates;

  value_table<guarantee_id, guarantee_status> guarantees;
  // Guarantees that wait for capacity.
  std::set<guarantee_id> short_guarantees;

  value_table<scoped_key, request_claim> claims;
  std::set<std::pair<timestamp, scoped_key>> claim_ages;

  bool operator==(const ledger&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_LEDGER_H_
