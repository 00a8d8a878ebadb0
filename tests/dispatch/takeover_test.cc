// Jobs that run while leaders, workers or the store fail.

#include <algorithm>

#include "dispatch/stage_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::stage_fixture;
using tests::Step;

namespace {

struct running_fixture : stage_fixture {
  explicit running_fixture(std::vector<work::step_spec> steps = {Step(4, 4)}) {
    stage.Submit(Follower(), kJob, steps);
    cr_assert(
        stage.RunUntil([&] { return IsRunning(kJob); }, work::duration(3000)));
  }

  void ExpectCompletedWithoutViolation() {
    cr_assert(Ends(kJob, work::job_phase::kCompleted));
    cr_assert(Violation().empty(), "%s", Violation().c_str());
  }
};

}  // namespace

Test(leader, killed_while_tasks_run_is_replaced_and_no_task_starts_again) {
  running_fixture fixture;
  fixture.stage.Kill(fixture.Leader());
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.stage.starts(), 4U);
}

Test(leader, frozen_while_another_takes_over_gives_no_order_after_it_resumes) {
  running_fixture fixture;
  const std::uint32_t first = fixture.Leader();
  fixture.stage.Freeze(first);
  fixture.stage.Submit(first == 0 ? 1 : 0, kOtherJob, {Step(2, 4)});
  fixture.stage.RunFor(work::duration(4000));
  fixture.stage.Thaw(first);
  fixture.ExpectCompletedWithoutViolation();
  cr_assert(fixture.Ends(kOtherJob, work::job_phase::kCompleted));
  cr_assert_neq(fixture.Leader(), first);
}

Test(leader, that_alone_is_cut_from_the_store_is_replaced) {
  running_fixture fixture;
  const std::uint32_t first = fixture.Leader();
  fixture.stage.entry(first).cut_from_store = true;
  cr_assert(fixture.stage.RunUntil(
      [&] { return fixture.stage.Leader() != first; }, work::duration(4000)));
  fixture.ExpectCompletedWithoutViolation();
}

Test(leader, that_shuts_down_hands_over_before_it_stops) {
  running_fixture fixture;
  const std::uint32_t first = fixture.Leader();
  fixture.stage.Shutdown(first, work::duration(6000));
  cr_assert(fixture.stage.RunUntil(
      [&] { return fixture.stage.Leader() != first; }, work::duration(2000)));
  cr_assert(fixture.stage.entry(first).alive);
  fixture.ExpectCompletedWithoutViolation();
}

Test(entries, all_killed_at_once_restore_accepted_jobs) {
  running_fixture fixture;
  for (std::uint32_t i = 0; i < 3; ++i)
    fixture.stage.Kill(i);
  fixture.stage.RunFor(work::duration(1000));
  for (std::uint32_t i = 0; i < 3; ++i)
    fixture.stage.Start(i);
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.stage.starts(), 4U);
}

Test(entries,
     all_killed_at_once_elect_a_leader_without_waiting_for_the_old_one) {
  running_fixture fixture;
  for (std::uint32_t i = 0; i < 3; ++i)
    fixture.stage.Kill(i);
  for (std::uint32_t i = 0; i < 3; ++i)
    fixture.stage.Start(i);
  cr_assert(fixture.stage.RunUntil(
      [&] { return fixture.stage.Leader().has_value(); }, work::duration(800)));
}

Test(store, reachable_again_after_an_outage_for_all_entries_keeps_the_leader) {
  running_fixture fixture;
  const std::uint32_t first = fixture.Leader();
  fixture.stage.store().down = true;
  fixture.stage.RunFor(work::duration(4000));
  fixture.stage.store().down = false;
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.Leader(), first);
}

Test(store, down_while_steps_follow_one_another_does_not_stop_the_work) {
  running_fixture fixture({Step(2, 4), Step(2, 4, false, {0})});
  fixture.stage.store().down = true;
  cr_assert(fixture.stage.RunUntil([&] { return fixture.stage.starts() == 4; },
                                   work::duration(6000)));
  fixture.stage.store().down = false;
  fixture.ExpectCompletedWithoutViolation();
}

Test(successor, of_a_leader_that_opened_a_step_without_record_runs_it_once) {
  running_fixture fixture({Step(2, 4), Step(2, 4, false, {0})});
  fixture.stage.store().down = true;
  cr_assert(fixture.stage.RunUntil([&] { return fixture.stage.starts() == 4; },
                                   work::duration(6000)));
  fixture.stage.Kill(fixture.Leader());
  fixture.stage.store().down = false;
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.stage.starts(), 4U);
}

Test(successor, of_a_leader_whose_progress_was_refused_starts_nothing_again) {
  running_fixture fixture({Step(1, 4)});
  const std::uint32_t first = fixture.Leader();
  fixture.stage.entry(first).cut_from_store = true;
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.stage.starts(), 1U);
}

Test(successor, counts_the_failed_attempts_of_a_leader_without_store) {
  stage_fixture fixture;
  for (std::uint32_t i = 0; i < fixture.stage.worker_count(); ++i)
    fixture.stage.worker(i).fails_all_tasks = true;
  fixture.stage.Submit(fixture.Leader(), kJob, {Step(1, 1)});
  cr_assert(fixture.stage.RunUntil([&] { return fixture.stage.starts() >= 1; },
                                   work::duration(3000)));
  fixture.stage.store().down = true;
  cr_assert(fixture.stage.RunUntil([&] { return fixture.stage.starts() >= 2; },
                                   work::duration(5000)));
  fixture.stage.Kill(fixture.Leader());
  fixture.stage.store().down = false;
  cr_assert(fixture.Ends(kJob, work::job_phase::kFailed));
  cr_assert_eq(fixture.stage.starts(), 3U);
}

Test(submission, whose_append_answer_is_lost_is_accepted_once) {
  stage_fixture fixture;
  fixture.stage.store().lose_answers = 1;
  const auto call =
      fixture.stage.Submit(fixture.Follower(), kJob, {Step(2, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.stage.IsAnswered(call, work::answer_kind::kAccepted));
  cr_assert_eq(fixture.stage.starts(), 2U);
}

Test(submission, that_the_store_never_took_is_refused_and_never_runs) {
  stage_fixture fixture;
  fixture.stage.store().down = true;
  const auto call = fixture.stage.Submit(fixture.Leader(), kJob, {Step(2, 1)});
  fixture.stage.RunFor(work::duration(3000));
  cr_assert(fixture.stage.IsAnswered(call, work::answer_kind::kNotRun));
  fixture.stage.store().down = false;
  fixture.stage.RunFor(work::duration(5000));
  cr_assert_eq(fixture.stage.starts(), 0U);
}

Test(submission, at_an_entry_that_the_store_turns_away_is_relayed) {
  stage_fixture fixture;
  const std::uint32_t cut = fixture.Follower();
  fixture.stage.entry(cut).cut_from_store = true;
  fixture.stage.RunFor(work::duration(1500));
  const auto call = fixture.stage.Submit(cut, kJob, {Step(1, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.stage.IsAnswered(call, work::answer_kind::kAccepted));
}

Test(catalog,
     published_while_an_entry_is_cut_from_the_store_reaches_it_through_a_peer) {
  stage_fixture fixture;
  const std::uint32_t cut = fixture.Follower();
  fixture.stage.entry(cut).cut_from_store = true;
  fixture.stage.RunFor(work::duration(1500));
  // Without queues.
  fixture.stage.Publish({.version = 7});
  fixture.stage.RunFor(work::duration(2000));
  const auto call = fixture.stage.Read(cut, kJob);
  fixture.stage.RunFor(work::duration(500));
  cr_assert(fixture.stage.IsAnswered(call, work::answer_kind::kNoQueue));
}

Test(records, compacted_while_a_follower_is_cut_off_are_read_again) {
  running_fixture fixture;
  const std::uint32_t cut = fixture.Follower();
  fixture.stage.entry(cut).cut_from_store = true;
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  fixture.stage.store().Compact();
  fixture.stage.entry(cut).cut_from_store = false;
  fixture.stage.RunFor(work::duration(2500));
  const auto call = fixture.stage.Read(cut, kJob);
  fixture.stage.RunFor(work::duration(500));
  cr_assert(fixture.stage.IsAnswered(call, work::answer_kind::kState));
}

Test(worker,
     cut_off_while_it_runs_a_task_has_it_run_elsewhere_once_its_lease_lapsed) {
  running_fixture fixture({Step(1, 4)});
  fixture.WorkerOf(kJob).cut = true;
  fixture.ExpectCompletedWithoutViolation();
}

Test(worker, restarted_under_its_name_has_its_tasks_run_again) {
  running_fixture fixture({Step(1, 4)});
  fixture.WorkerOf(kJob).Restart(fixture.stage.now());
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.stage.starts(), 2U);
}

Test(worker, that_leaves_unanswered_orders_runs_each_task_once) {
  stage_fixture fixture;
  for (std::uint32_t i = 0; i < fixture.stage.worker_count(); ++i)
    fixture.stage.worker(i).lose_order_answers = 2;
  fixture.stage.Submit(0, kJob, {Step(4, 4, true)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert_eq(fixture.stage.starts(), 4U);
}
