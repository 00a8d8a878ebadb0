// Tests of the production placement policy.

#include "scheduler/plan.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "support/ledger_fixture.h"

using parsleyhitch::test::ledger_fixture;
namespace model = parsleyhitch::model;
namespace scheduler = parsleyhitch::scheduler;

namespace {

struct plan_fixture : ledger_fixture {
  std::vector<model::record> Plan() const {
    const scheduler::plan_rules rules{
        .limits = limits, .leaves_guarantees = hooks.leaves_guarantees};
    return scheduler::PlanPlacements(step.ledger, now, rules);
  }

  const model::job_placed* Placement(const std::vector<model::record>& records,
                                     const std::string& job) const {
    for (const model::record& record : records) {
      const auto* placed = std::get_if<model::job_placed>(&record);
      if (placed != nullptr && placed->job == model::job_id(job))
        return placed;
    }
    return nullptr;
  }

  // Preemptible jobs that fill every worker.
  void FillWithSoftWork() {
    for (int i = 0; i < 8; ++i) {
      const std::string job = "soft-" + std::to_string(i);
      Submit(job, Spec("coop", {.gang_size = 1, .accelerators = 8}, true));
      Place(job, {i});
    }
  }
};

}  // namespace

Test(plan, small_job_with_a_partly_used_worker_is_placed_on_that_worker) {
  plan_fixture fixture;
  fixture.Submit(
      "first",
      ledger_fixture::Spec("coop", {.gang_size = 1, .accelerators = 4}, true));
  fixture.Place("first", {6});
  fixture.Submit(
      "second",
      ledger_fixture::Spec("coop", {.gang_size = 1, .accelerators = 4}, true));
  const auto records = fixture.Plan();
  const auto* placed = fixture.Placement(records, "second");
  cr_assert_not_null(placed);
  cr_assert(placed->workers.front() == ledger_fixture::WorkerId(6));
}

Test(plan, guaranteed_job_with_borrowed_capacity_preempts_only_what_it_needs) {
  plan_fixture fixture;
  fixture.FillWithSoftWork();
  fixture.Submit("wear",
                 ledger_fixture::Spec("coop", ledger_fixture::RackShape()));
  const auto records = fixture.Plan();
  cr_assert_eq(records.size(), 4);
  cr_assert(std::ranges::all_of(records, [](const model::record& record) {
    return std::holds_alternative<model::job_preempted>(record);
  }));
}

Test(plan, firm_job_that_is_not_urgent_does_not_preempt_at_once) {
  plan_fixture fixture;
  fixture.FillWithSoftWork();
  fixture.Submit("firm", ledger_fixture::Spec(
                             "laundry", {.gang_size = 1, .accelerators = 8}));
  cr_assert(fixture.Plan().empty());
}

Test(plan, large_job_that_waits_reserves_its_workers_against_longer_jobs) {
  plan_fixture fixture;
  const model::shape rack = ledger_fixture::RackShape();
  fixture.Submit(
      "half",
      ledger_fixture::Spec("coop", {.gang_size = 1, .accelerators = 8}, true));
  fixture.Place("half", {0});
  fixture.Submit(
      "half-2",
      ledger_fixture::Spec("coop", {.gang_size = 1, .accelerators = 8}, true));
  fixture.Place("half-2", {4});
  fixture.Submit("large", ledger_fixture::Spec("coop", rack, true));
  const model::job_spec longer{.owner = model::workspace_id("coop"),
                               .kind = "long",
                               .capacity = {.gang_size = 4, .accelerators = 8},
                               .declared_run_time = model::duration(100000),
                               .preemptible = true};
  fixture.Submit("long", longer);
  const auto records = fixture.Plan();
  cr_assert_null(fixture.Placement(records, "large"));
  cr_assert_null(fixture.Placement(records, "long"));
}

Test(plan, job_that_failed_on_a_worker_is_not_placed_there_again) {
  plan_fixture fixture;
  fixture.Submit("job", ledger_fixture::Spec(
                            "coop", {.gang_size = 1, .accelerators = 8}, true));
  fixture.Place("job", {0});
  fixture.Report("job", 0, model::task_state::kFailed);
  const auto records = fixture.Plan();
  const auto* placed = fixture.Placement(records, "job");
  cr_assert_not_null(placed);
  cr_assert(placed->workers.front() != ledger_fixture::WorkerId(0));
}
