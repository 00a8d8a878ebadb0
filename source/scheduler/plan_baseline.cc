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
                                        const model::limits& limits) {
  plan_board board{.ledger = &ledger, .limits = &limits, .now = now};
  std::vector<const model::queue_position*> order;
  for (const model::queue_position& position : ledger.waiting)
    order.push_back(&position);
  std::ranges::sort(order, {}, [](const auto* each) { return each->submitted; });
  if (order.size() > limits.plan_scan)
    order.resize(limits.plan_scan);
  for (const model::queue_position* position : order) {
    const model::job_spec& spec = ledger.jobs.Find(position->job)->spec;
    if (!QuotaAllows(board, spec))
      continue;
    const std::optional<model::guarantee_id> id = GuaranteeFor(board, spec);
    if (id) {
      board = ClaimGuarantee(std::move(board), position->job, spec, *id);
      continue;
    }
    const headroom room = [&](const model::worker_id& worker) {
      return RoomNow(board, spec, worker);
    };
    const std::vector<model::worker_id> workers =
        FindWorkers(ledger, spec.capacity, room, spec.capacity.accelerators, fit::kFirst);
    if (!workers.empty())
      board = PlaceOn(std::move(board), position->job, spec, workers);
  }
  return std::move(board.records);
}

}  // namespace parsleyhitch::scheduler
