// The baseline policy.

#include <algorithm>
#include <optional>
#include <utility>

#include "scheduler/plan.h"
#include "scheduler/plan_board.h"
#include "scheduler/plan_search.h"

namespace parsleyhitch::scheduler {

std::vector<model::record> PlanFirstFit(const model::ledger& ledger,
                                        model::timestamp now,
                                        const plan_rules& rules) {
  plan_board board{.ledger = &ledger, .rules = &rules, .now = now};
  std::vector<const model::queue_position*> order;
  for (const model::queue_position& position : ledger.waiting)
    order.push_back(&position);
  std::ranges::sort(order, {},
                    [](const auto* each) { return each->submitted; });
  if (order.size() > rules.limits.plan_scan)
    order.resize(rules.limits.plan_scan);
  for (const model::queue_position* position : order) {
    const model::job_spec& spec = ledger.jobs.Find(position->job)->spec;
    const sought_job job{.id = position->job, .spec = spec};
    if (!QuotaAllows(board, spec))
      continue;
    const std::optional<model::guarantee_id> id = GuaranteeFor(board, spec);
    if (id) {
      board = ClaimGuarantee(std::move(board), job, *id);
      continue;
    }
    const headroom room = [&](const model::worker_id& worker) {
      return RoomNow(board, job, worker);
    };
    const std::vector<model::worker_id> workers = FindWorkers(
        ledger, spec.capacity, room, spec.capacity.accelerators, fit::kFirst);
    if (!workers.empty())
      board = PlaceOn(std::move(board), job, workers);
  }
  return std::move(board.records);
}

}  // namespace parsleyhitch::scheduler
