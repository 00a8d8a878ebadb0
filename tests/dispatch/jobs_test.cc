// Scheduling of jobs while neither entries nor the store fail.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

Test(job, submitted_at_a_follower_is_accepted_and_completes) {
  simulation_fixture fixture;
  const auto call =
      fixture.simulation.Submit(fixture.Follower(), kJob, {Step(3, 2)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.simulation.IsAnswered(call, work::answer_kind::kAccepted));
  cr_assert_eq(fixture.simulation.starts(), 3U);
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

Test(job, submitted_at_two_entries_runs_once) {
  simulation_fixture fixture;
  fixture.simulation.Submit(0, kJob, {Step(2, 1)});
  fixture.simulation.Submit(1, kJob, {Step(2, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert_eq(fixture.simulation.starts(), 2U);
}

Test(job, with_dependent_steps_runs_them_in_order) {
  simulation_fixture fixture;
  fixture.simulation.Submit(0, kJob, {Step(4, 1), Step(2, 1, false, {0})});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert_eq(fixture.simulation.starts(), 6U);
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

Test(job, that_is_a_gang_runs_all_members_at_once) {
  simulation_fixture fixture;
  fixture.simulation.Submit(0, kJob, {Step(5, 4, true)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert_eq(fixture.simulation.starts(), 5U);
}

Test(job, cancelled_while_it_runs_is_stopped_and_shown_as_cancelled) {
  simulation_fixture fixture;
  fixture.simulation.Submit(0, kJob, {Step(2, 8)});
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
  const auto call = fixture.simulation.Cancel(fixture.Follower(), kJob);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCancelled));
  cr_assert(fixture.simulation.IsAnswered(call, work::answer_kind::kAccepted));
  cr_assert(fixture.simulation.RunUntil(
      [&] { return !fixture.IsRunning(kJob); }, work::duration(1000)));
}

Test(job, cancelled_while_its_leader_reads_no_records_ends_alike_everywhere) {
  simulation_fixture fixture({.task_duration = work::duration(1000)});
  fixture.simulation.Submit(0, kJob, {Step(1, 1)});
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
  const std::uint32_t leader = fixture.Leader();
  const std::uint32_t follower = fixture.Follower();
  fixture.simulation.RunFor(work::duration(600));
  // For less than the time after which the leader would be replaced.
  fixture.simulation.entry(leader).cut_from_store = true;
  const auto cancel = fixture.simulation.Cancel(follower, kJob);
  cr_assert(fixture.simulation.RunUntil(
      [&] { return !fixture.LinesOf("job_closed").empty(); },
      work::duration(900)));
  cr_assert(
      fixture.simulation.IsAnswered(cancel, work::answer_kind::kAccepted));
  fixture.simulation.entry(leader).cut_from_store = false;
  fixture.simulation.RunFor(work::duration(3000));
  cr_assert_eq(fixture.Leader(), leader);
  for (std::uint32_t entry = 0; entry < 3; ++entry) {
    const auto read = fixture.simulation.Read(entry, kJob);
    fixture.simulation.RunFor(work::duration(200));
    cr_assert(fixture.simulation.CallOf(read).answer->phase ==
              work::job_phase::kCancelled);
  }
  cr_assert(fixture.Ends(kJob, work::job_phase::kCancelled));
}

Test(job, that_no_worker_can_hold_stays_queued_and_does_not_block_others) {
  simulation_fixture fixture;
  fixture.simulation.Submit(0, kJob, {Step(1, 9)}, "urgent");
  fixture.simulation.Submit(0, kOtherJob, {Step(1, 8)});
  cr_assert(fixture.Ends(kOtherJob, work::job_phase::kCompleted));
  cr_assert(fixture.simulation.PhaseOf(kJob) == work::job_phase::kQueued);
}

Test(job, whose_tasks_all_fail_is_failed_after_its_attempts) {
  simulation_fixture fixture;
  for (std::uint32_t i = 0; i < fixture.simulation.worker_count(); ++i)
    fixture.simulation.worker(i).fails_all_tasks = true;
  fixture.simulation.Submit(0, kJob, {Step(1, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kFailed));
  cr_assert_eq(fixture.simulation.starts(), 3U);
}

Test(urgent_gang,
     without_room_preempts_background_work_and_starts_within_a_second) {
  simulation_fixture fixture;
  fixture.simulation.Submit(0, kJob, {Step(6, 8)}, "background");
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
  fixture.simulation.Submit(1, kOtherJob, {Step(3, 8, true)}, "urgent");
  cr_assert(fixture.Runs(kOtherJob, work::duration(1000)));
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

Test(background_unit,
     stopped_for_urgent_work_backs_off_before_it_starts_again) {
  simulation_fixture fixture;
  fixture.simulation.Submit(0, kJob, {Step(6, 8)}, "background");
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
  fixture.simulation.Submit(1, kOtherJob, {Step(1, 8)}, "urgent");
  cr_assert(fixture.Runs(kOtherJob, work::duration(1000)));
  // Its capacity is free again at once.
  fixture.simulation.Cancel(0, kOtherJob);
  const auto second_start = [&] {
    for (const std::string& line : fixture.LinesOf("unit_placed")) {
      if (line.find(" attempt=2 ") != std::string::npos)
        return line;
    }
    return std::string();
  };
  cr_assert(fixture.simulation.RunUntil([&] { return !second_start().empty(); },
                                        work::duration(3000)));
  const std::string line = second_start();
  const std::string name = " waited_ms=";
  const auto waited = std::stol(line.substr(line.find(name) + name.size()));
  cr_assert_geq(waited, work::limits().preempted_base.count());
}

Test(worker,
     restarted_before_its_task_keeps_it_when_the_registry_reports_the_restart) {
  simulation_fixture fixture(
      {.workers = 1, .max_hold_time = work::duration(2000)});
  fixture.simulation.worker(0).Restart(fixture.simulation.now());
  fixture.simulation.Submit(0, kJob, {Step(1, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(!fixture.LinesOf("worker_restarted").empty());
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
  cr_assert_eq(fixture.simulation.starts(), 1U);
}

Test(worker, that_ended_a_task_before_its_start_was_repeated_runs_it_once) {
  simulation_fixture fixture({.max_hold_time = work::duration(2000),
                              .task_duration = work::duration(100)});
  for (std::uint32_t i = 0; i < fixture.simulation.worker_count(); ++i)
    fixture.simulation.worker(i).lose_order_answers = 1;
  fixture.simulation.Submit(0, kJob, {Step(1, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert_eq(fixture.simulation.starts(), 1U);
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

Test(worker, that_drains_gets_no_new_task) {
  simulation_fixture fixture;
  for (std::uint32_t i = 1; i < fixture.simulation.worker_count(); ++i)
    fixture.simulation.worker(i).draining = true;
  // Time for the registry to be updated and for the leader to read it.
  fixture.simulation.RunFor(work::duration(2000));
  fixture.simulation.Submit(0, kJob, {Step(2, 8)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  for (std::uint32_t i = 1; i < fixture.simulation.worker_count(); ++i)
    cr_assert(fixture.simulation.worker(i).Listing().ended.empty());
}

Test(worker, that_fails_everything_is_shunned_and_its_work_done_elsewhere) {
  simulation_fixture fixture;
  fixture.simulation.worker(0).fails_all_tasks = true;
  for (int i = 0; i < 6; ++i) {
    const std::string job = "000000000000000" + std::to_string(i);
    fixture.simulation.Submit(0, job, {Step(2, 1)});
  }
  for (int i = 0; i < 6; ++i) {
    const std::string job = "000000000000000" + std::to_string(i);
    cr_assert(fixture.Ends(job, work::job_phase::kCompleted));
  }
}
