// Tests of the fold: placements, gangs, duplicate batches, workers, manifests
// and request claims.

#include "scheduler/fold.h"

#include <criterion/criterion.h>

#include "support/ledger_fixture.h"

using parsleyhitch::test::ledger_fixture;
namespace model = parsleyhitch::model;

namespace {

constexpr model::shape kOne{.gang_size = 1, .accelerators = 8};
constexpr model::shape kPair{.gang_size = 2, .accelerators = 8};

// A gang of two that runs on workers without reservations.
struct running_pair : ledger_fixture {
  int first = ReservedWorkers().front() < 4 ? 4 : 0;
  int second = first + 1;

  running_pair() {
    Submit("pair", Spec("laundry", kPair));
    Place("pair", {first, second});
    ReportAll("pair", model::task_state::kHeld);
    ReportAll("pair", model::task_state::kRunning);
  }
};

// An open claim of the key "k" by entry "e".
struct claimed_key : ledger_fixture {
  const model::request_claimed claim{.owner = model::workspace_id("coop"),
                                     .key = model::idempotency_key("k"),
                                     .digest = 1,
                                     .by = model::entry_id("e"),
                                     .incarnation = 1};

  claimed_key() { Fold(claim); }

  const model::request_claim* Claim() const {
    return step.ledger.claims.Find({.owner = claim.owner, .key = claim.key});
  }

  bool Finish(model::request_outcome outcome) {
    return Fold(model::request_finished{.owner = claim.owner,
                                        .key = claim.key,
                                        .by = claim.by,
                                        .result = {.outcome = outcome}});
  }
};

}  // namespace

Test(fold, batch_repeated_is_ignored) {
  ledger_fixture fixture;
  const model::logged_batch batch{
      .offset = fixture.step.ledger.next_offset,
      .content = {.by = model::entry_id("e"),
                  .incarnation = 1,
                  .sequence = fixture.sequence,
                  .at = fixture.now,
                  .records = {model::worker_leaving{
                      .worker = ledger_fixture::WorkerId(0)}}}};
  fixture.step = parsleyhitch::scheduler::FoldBatch(
      {.behaviour = fixture.hooks, .limits = fixture.limits},
      std::move(fixture.step), batch);
  const auto* worker =
      fixture.step.ledger.workers.Find(ledger_fixture::WorkerId(0));
  cr_assert(worker->phase == model::worker_phase::kLive);
  cr_assert_eq(fixture.step.ledger.next_offset, batch.offset + 1);
}

Test(fold, batch_of_an_older_incarnation_is_ignored) {
  ledger_fixture fixture;
  const model::logged_batch newer{.offset = fixture.step.ledger.next_offset,
                                  .content = {.by = model::entry_id("e"),
                                              .incarnation = 2,
                                              .sequence = 1,
                                              .at = fixture.now}};
  fixture.step = parsleyhitch::scheduler::FoldBatch(
      {.behaviour = fixture.hooks, .limits = fixture.limits},
      std::move(fixture.step), newer);
  cr_assert_not(fixture.Fold(
      model::worker_leaving{.worker = ledger_fixture::WorkerId(0)}));
}

Test(fold, placement_on_taken_workers_is_void) {
  running_pair fixture;
  fixture.Submit("late", ledger_fixture::Spec("laundry", kOne));
  cr_assert_not(fixture.Place("late", {fixture.first}));
  cr_assert(fixture.Phase("late") == model::job_phase::kWaiting);
}

Test(fold, placement_repeated_is_void) {
  running_pair fixture;
  cr_assert_not(fixture.Place("pair", {fixture.first, fixture.second}));
}

Test(fold, placement_of_firm_work_on_reserved_workers_is_void) {
  ledger_fixture fixture;
  fixture.Submit("firm", ledger_fixture::Spec("laundry", kOne));
  cr_assert_not(fixture.Place("firm", {fixture.ReservedWorkers().front()}));
}

Test(fold, placement_of_preemptible_work_on_reserved_workers_is_accepted) {
  ledger_fixture fixture;
  fixture.Submit("soft", ledger_fixture::Spec("laundry", kOne, true));
  cr_assert(fixture.Place("soft", {fixture.ReservedWorkers().front()}));
}

Test(fold, placement_over_the_quota_is_void) {
  running_pair fixture;
  fixture.Submit(
      "three", ledger_fixture::Spec("laundry",
                                    {.gang_size = 4, .accelerators = 8}, true));
  cr_assert_not(fixture.Place("three", fixture.ReservedWorkers()));
}

Test(fold, gang_with_every_member_held_starts) {
  ledger_fixture fixture;
  fixture.Submit("soft", ledger_fixture::Spec("laundry", kPair, true));
  fixture.Place("soft", {0, 5});
  fixture.Report("soft", 0, model::task_state::kHeld);
  cr_assert(fixture.Phase("soft") == model::job_phase::kHolding);
  fixture.Report("soft", 5, model::task_state::kHeld);
  cr_assert(fixture.Phase("soft") == model::job_phase::kStarting);
}

Test(fold, gang_with_a_lost_member_stops_whole_and_waits_again) {
  running_pair fixture;
  fixture.Fold(
      model::worker_suspected{.worker = ledger_fixture::WorkerId(fixture.first),
                              .by = model::entry_id("e"),
                              .witnesses = 1});
  cr_assert(fixture.Phase("pair") == model::job_phase::kStopping);
  fixture.Report("pair", fixture.second, model::task_state::kStopped);
  cr_assert(fixture.Phase("pair") == model::job_phase::kWaiting);
  cr_assert_null(fixture.FindPlacement("pair"));
}

Test(fold, gang_that_fails_too_often_fails) {
  ledger_fixture fixture;
  fixture.Submit("bad", ledger_fixture::Spec("laundry", kOne, true));
  for (std::uint32_t i = 0; i < fixture.limits.max_attempts; ++i) {
    cr_assert(fixture.Place("bad", {static_cast<int>(i % 8)}));
    fixture.ReportAll("bad", model::task_state::kHeld);
    fixture.ReportAll("bad", model::task_state::kFailed);
  }
  cr_assert(fixture.Phase("bad") == model::job_phase::kFailed);
}

Test(fold, report_with_a_stale_token_is_ignored) {
  running_pair fixture;
  fixture.Fold(
      model::tasks_reported{.worker = ledger_fixture::WorkerId(fixture.first),
                            .tasks = {{.job = model::job_id("pair"),
                                       .token = 1,
                                       .state = model::task_state::kFailed}}});
  cr_assert(fixture.Phase("pair") == model::job_phase::kRunning);
}

Test(fold, cancel_of_a_running_job_stops_it_and_frees_its_workers) {
  running_pair fixture;
  cr_assert(fixture.Fold(model::job_cancelled{.job = model::job_id("pair")}));
  fixture.ReportAll("pair", model::task_state::kStopped);
  cr_assert(fixture.Phase("pair") == model::job_phase::kCancelled);
  cr_assert_eq(fixture.step.ledger.accelerators_firm, 0);
}

Test(fold, worker_suspected_by_one_of_two_witnesses_stays_live) {
  ledger_fixture fixture;
  fixture.Fold(model::worker_suspected{.worker = ledger_fixture::WorkerId(0),
                                       .by = model::entry_id("a"),
                                       .witnesses = 2});
  const auto* worker =
      fixture.step.ledger.workers.Find(ledger_fixture::WorkerId(0));
  cr_assert(worker->phase == model::worker_phase::kLive);
}

Test(fold, worker_that_fails_job_after_job_is_ejected) {
  ledger_fixture fixture;
  for (int i = 0; i < 3; ++i) {
    const std::string job = "job-" + std::to_string(i);
    fixture.Submit(job, ledger_fixture::Spec("laundry", kOne, true));
    fixture.Place(job, {5});
    fixture.Report(job, 5, model::task_state::kFailed);
  }
  const auto* worker =
      fixture.step.ledger.workers.Find(ledger_fixture::WorkerId(5));
  cr_assert(worker->ejected_until > fixture.step.ledger.clock);
}

Test(fold, manifest_on_a_stale_base_is_void) {
  ledger_fixture fixture;
  cr_assert_not(fixture.Fold(model::manifest_published{
      .proposed = {.version = 5,
                   .base = 0,
                   .workspaces = {{.id = model::workspace_id("other")}}}}));
  cr_assert_eq(fixture.step.ledger.in_force.Get()->version, 1);
}

Test(fold, manifest_with_guarantees_beyond_the_fleet_is_void) {
  ledger_fixture fixture;
  const model::shape shape = ledger_fixture::RackShape();
  cr_assert_not(fixture.Fold(model::manifest_published{
      .proposed = {.version = 2,
                   .base = 1,
                   .workspaces = {
                       {.id = model::workspace_id("coop"),
                        .guarantees = {{.name = "a", .capacity = shape},
                                       {.name = "b", .capacity = shape},
                                       {.name = "c", .capacity = shape}}}}}}));
}

Test(fold, claim_of_a_claimed_key_is_void) {
  claimed_key fixture;
  cr_assert_not(fixture.Fold(fixture.claim));
}

Test(fold, claim_finished_as_not_run_frees_the_key) {
  claimed_key fixture;
  cr_assert(fixture.Finish(model::request_outcome::kNotRun));
  cr_assert_null(fixture.Claim());
}

Test(fold, claim_finished_as_answered_keeps_the_answer) {
  claimed_key fixture;
  cr_assert(fixture.Finish(model::request_outcome::kAnswered));
  cr_assert(fixture.Claim()->result->outcome ==
            model::request_outcome::kAnswered);
  cr_assert_not(fixture.Finish(model::request_outcome::kNotRun));
}
