// Tests of the reservations for guaranteed shapes.

#include "scheduler/guarantees.h"

#include <criterion/criterion.h>

#include "support/ledger_fixture.h"

using parsleyhitch::test::ledger_fixture;
namespace model = parsleyhitch::model;

namespace {

// The guarantee is claimed by a running job that uses 6 of the 8 accelerators
// on each worker.
struct claimed_guarantee : ledger_fixture {
  claimed_guarantee() {
    Submit("wear", Spec("coop", {.gang_size = 4,
                                 .accelerators = 6,
                                 .nearness = model::adjacency::kRack}));
    Place("wear", ReservedWorkers());
    ReportAll("wear", model::task_state::kHeld);
    ReportAll("wear", model::task_state::kRunning);
  }

  model::capacity UseOfFirst() const {
    return parsleyhitch::scheduler::UseOf(step.ledger,
                                          Guarantee().workers.front());
  }
};

}  // namespace

Test(guarantees, manifest_in_force_reserves_one_whole_rack) {
  const ledger_fixture fixture;
  cr_assert_eq(fixture.ReservedWorkers().size(), 4);
  cr_assert(fixture.Guarantee().shortfall.empty());
}

Test(guarantees, claim_by_a_smaller_job_keeps_the_rest_reserved) {
  const claimed_guarantee fixture;
  cr_assert(fixture.Guarantee().claimed_by == model::job_id("wear"));
  cr_assert_eq(fixture.UseOfFirst().firm, 6);
  cr_assert_eq(fixture.UseOfFirst().reserved, 2);
}

Test(guarantees, job_finished_reserves_the_shape_again) {
  claimed_guarantee fixture;
  fixture.ReportAll("wear", model::task_state::kFinished);
  cr_assert_not(fixture.Guarantee().claimed_by.has_value());
  cr_assert_eq(fixture.UseOfFirst().reserved, 8);
}

Test(guarantees, worker_lost_moves_the_reservation_to_the_other_rack) {
  ledger_fixture fixture;
  const int lost = fixture.ReservedWorkers().front();
  fixture.Fold(model::worker_suspected{.worker = ledger_fixture::WorkerId(lost),
                                       .by = model::entry_id("e"),
                                       .witnesses = 1});
  cr_assert_eq(fixture.ReservedWorkers().size(), 4);
  cr_assert_neq(fixture.ReservedWorkers().front() < 4, lost < 4);
}

Test(guarantees,
     worker_lost_in_each_rack_reports_the_shortfall_until_one_returns) {
  ledger_fixture fixture;
  for (const int lost : {0, 4}) {
    fixture.Fold(
        model::worker_suspected{.worker = ledger_fixture::WorkerId(lost),
                                .by = model::entry_id("e"),
                                .witnesses = 1});
  }
  cr_assert_not(fixture.Guarantee().shortfall.empty());
  fixture.Fold(model::worker_heard{.worker = ledger_fixture::WorkerId(4)});
  cr_assert(fixture.Guarantee().shortfall.empty());
}

Test(guarantees, manifest_without_the_guarantee_frees_a_claimed_one) {
  claimed_guarantee fixture;
  const model::worker_id first = fixture.Guarantee().workers.front();
  fixture.Fold(model::manifest_published{
      .proposed = {.version = 2,
                   .base = 1,
                   .workspaces = {{.id = model::workspace_id("coop")}}}});
  cr_assert_eq(
      parsleyhitch::scheduler::UseOf(fixture.step.ledger, first).reserved, 0);
  fixture.ReportAll("wear", model::task_state::kFinished);
  cr_assert_eq(
      parsleyhitch::scheduler::UseOf(fixture.step.ledger, first).reserved, 0);
}
