// The baseline placement policy.

#include <algorithm>
#include <optional>
#include <utility>

#include "scheduler/plan.h"
#include "scheduler/plan_search.h"
#include "scheduler/plan_state.h"

namespace parsleyhitch::scheduler {

std::vector<model::record> PlanFirstFit(const model::ledger& ledger,
                                        model::timestamp now,
                                        const plan_rules& rules) {
  plan_state plan{.ledger = &ledger, .rules = &rules, .now = now};
  std::vector<const model::queue_position*> order;
  for (const model::queue_position& position : ledger.waiting)
    order.push_back(&position);
  std::ranges::sort(order, {},
                    [](const auto* each) { return each->submitted; });
  if (order.size() > rules.limits.plan_scan)
    order.resize(rules.limits.plan_scan);
  for (const model::queue_position* position : order) {
    const model::job_spec& spec = ledger.jobs.Find(position->job)->spec;
    const placement_request job{.id = position->job, .spec = spec};
    if (!QuotaAllows(plan, spec))
      continue;
    const std::optional<model::guarantee_id> id = GuaranteeFor(plan, spec);
    if (id) {
      plan = ClaimGuarantee(std::move(plan), job, *id);
      continue;
    }
    const headroom room = [&](const model::worker_id& worker) {
      return RoomNow(plan, job, worker);
    };
    const std::vector<model::worker_id> workers = FindWorkers(
        ledger, spec.capacity, room, spec.capacity.accelerators, fit::kFirst);
    if (!workers.empty())
      plan = PlaceOn(std::move(plan), job, workers);
  }
  return std::move(plan.records);
}

}  // namespace parsleyhitch::scheduler
