// Jobs that run while leaders, workers or the store fail.

#include <algorithm>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

struct running_fixture : simulation_fixture {
  explicit running_fixture(std::vector<work::step_spec> steps = {Step(4, 4)}) {
    simulation.Submit(Follower(), kJob, steps);
    cr_assert(Runs(kJob, work::duration(3000)));
  }

  void ExpectCompletedWithoutViolation() {
    cr_assert(Ends(kJob, work::job_phase::kCompleted));
    cr_assert(Violation().empty(), "%s", Violation().c_str());
  }
};

}  // namespace

Test(leader, killed_while_tasks_run_is_replaced_and_no_task_starts_again) {
  running_fixture fixture;
  fixture.simulation.Kill(fixture.Leader());
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.simulation.starts(), 4U);
}

Test(leader, frozen_while_another_takes_over_gives_no_order_after_it_resumes) {
  running_fixture fixture;
  const std::uint32_t first = fixture.Leader();
  fixture.simulation.Freeze(first);
  fixture.simulation.Submit(first == 0 ? 1 : 0, kOtherJob, {Step(2, 4)});
  fixture.simulation.RunFor(work::duration(4000));
  fixture.simulation.Thaw(first);
  fixture.ExpectCompletedWithoutViolation();
  cr_assert(fixture.Ends(kOtherJob, work::job_phase::kCompleted));
  cr_assert_neq(fixture.Leader(), first);
}

Test(leader, that_alone_is_cut_from_the_store_is_replaced) {
  running_fixture fixture;
  const std::uint32_t first = fixture.Leader();
  fixture.simulation.entry(first).cut_from_store = true;
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.simulation.Leader() != first; },
      work::duration(4000)));
  fixture.ExpectCompletedWithoutViolation();
}

Test(leader, that_shuts_down_hands_over_before_it_stops) {
  running_fixture fixture;
  const std::uint32_t first = fixture.Leader();
  fixture.simulation.Shutdown(first, work::duration(6000));
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.simulation.Leader() != first; },
      work::duration(2000)));
  cr_assert(fixture.simulation.entry(first).alive);
  fixture.ExpectCompletedWithoutViolation();
}

Test(entries, all_killed_at_once_restore_accepted_jobs) {
  running_fixture fixture;
  for (std::uint32_t i = 0; i < 3; ++i)
    fixture.simulation.Kill(i);
  fixture.simulation.RunFor(work::duration(1000));
  for (std::uint32_t i = 0; i < 3; ++i)
    fixture.simulation.Start(i);
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.simulation.starts(), 4U);
}

Test(entries,
     all_killed_at_once_elect_a_leader_without_waiting_for_the_old_one) {
  running_fixture fixture;
  for (std::uint32_t i = 0; i < 3; ++i)
    fixture.simulation.Kill(i);
  for (std::uint32_t i = 0; i < 3; ++i)
    fixture.simulation.Start(i);
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.simulation.Leader().has_value(); },
      work::duration(800)));
}

Test(store, reachable_again_after_an_outage_for_all_entries_keeps_the_leader) {
  running_fixture fixture;
  const std::uint32_t first = fixture.Leader();
  fixture.simulation.store().down = true;
  fixture.simulation.RunFor(work::duration(4000));
  fixture.simulation.store().down = false;
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.Leader(), first);
}

Test(store, down_while_steps_follow_one_another_does_not_stop_the_work) {
  running_fixture fixture({Step(2, 4), Step(2, 4, false, {0})});
  fixture.simulation.store().down = true;
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.simulation.starts() == 4; }, work::duration(6000)));
  fixture.simulation.store().down = false;
  fixture.ExpectCompletedWithoutViolation();
}

Test(successor, of_a_leader_that_opened_a_step_without_record_runs_it_once) {
  running_fixture fixture({Step(2, 4), Step(2, 4, false, {0})});
  fixture.simulation.store().down = true;
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.simulation.starts() == 4; }, work::duration(6000)));
  fixture.simulation.Kill(fixture.Leader());
  fixture.simulation.store().down = false;
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.simulation.starts(), 4U);
}

Test(successor, of_a_leader_whose_progress_was_refused_starts_nothing_again) {
  running_fixture fixture({Step(1, 4)});
  const std::uint32_t first = fixture.Leader();
  fixture.simulation.entry(first).cut_from_store = true;
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.simulation.starts(), 1U);
}

Test(successor, counts_the_failed_attempts_of_a_leader_without_store) {
  simulation_fixture fixture;
  for (std::uint32_t i = 0; i < fixture.simulation.worker_count(); ++i)
    fixture.simulation.worker(i).fails_all_tasks = true;
  fixture.simulation.Submit(fixture.Leader(), kJob, {Step(1, 1)});
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.simulation.starts() >= 1; }, work::duration(3000)));
  fixture.simulation.store().down = true;
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.simulation.starts() >= 2; }, work::duration(5000)));
  fixture.simulation.Kill(fixture.Leader());
  fixture.simulation.store().down = false;
  cr_assert(fixture.Ends(kJob, work::job_phase::kFailed));
  cr_assert_eq(fixture.simulation.starts(), 3U);
}

Test(submission, whose_append_answer_is_lost_is_accepted_once) {
  simulation_fixture fixture;
  fixture.simulation.store().lose_answers = 1;
  const auto call =
      fixture.simulation.Submit(fixture.Follower(), kJob, {Step(2, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.simulation.IsAnswered(call, work::answer_kind::kAccepted));
  cr_assert_eq(fixture.simulation.starts(), 2U);
}

Test(submission, that_the_store_never_took_is_refused_and_never_runs) {
  simulation_fixture fixture;
  fixture.simulation.store().down = true;
  const auto call =
      fixture.simulation.Submit(fixture.Leader(), kJob, {Step(2, 1)});
  fixture.simulation.RunFor(work::duration(3000));
  cr_assert(fixture.simulation.IsAnswered(call, work::answer_kind::kNotRun));
  fixture.simulation.store().down = false;
  fixture.simulation.RunFor(work::duration(5000));
  cr_assert_eq(fixture.simulation.starts(), 0U);
}

Test(submission, at_an_entry_that_the_store_turns_away_is_relayed) {
  simulation_fixture fixture;
  const std::uint32_t cut = fixture.Follower();
  fixture.simulation.entry(cut).cut_from_store = true;
  fixture.simulation.RunFor(work::duration(1500));
  const auto call = fixture.simulation.Submit(cut, kJob, {Step(1, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.simulation.IsAnswered(call, work::answer_kind::kAccepted));
}

Test(catalog,
     published_while_an_entry_is_cut_from_the_store_reaches_it_through_a_peer) {
  simulation_fixture fixture;
  const std::uint32_t cut = fixture.Follower();
  fixture.simulation.entry(cut).cut_from_store = true;
  fixture.simulation.RunFor(work::duration(1500));
  // Without queues.
  fixture.simulation.Publish({.version = 7});
  fixture.simulation.RunFor(work::duration(2000));
  const auto call = fixture.simulation.Read(cut, kJob);
  fixture.simulation.RunFor(work::duration(500));
  cr_assert(fixture.simulation.IsAnswered(call, work::answer_kind::kNoQueue));
}

Test(records, compacted_while_a_follower_is_cut_off_are_read_again) {
  running_fixture fixture;
  const std::uint32_t cut = fixture.Follower();
  fixture.simulation.entry(cut).cut_from_store = true;
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  fixture.simulation.store().Compact();
  fixture.simulation.entry(cut).cut_from_store = false;
  fixture.simulation.RunFor(work::duration(2500));
  const auto call = fixture.simulation.Read(cut, kJob);
  fixture.simulation.RunFor(work::duration(500));
  cr_assert(fixture.simulation.IsAnswered(call, work::answer_kind::kState));
}

Test(worker,
     cut_off_while_it_runs_a_task_has_it_run_elsewhere_once_its_lease_lapsed) {
  running_fixture fixture({Step(1, 4)});
  fixture.WorkerOf(kJob).cut = true;
  fixture.ExpectCompletedWithoutViolation();
}

Test(worker, restarted_under_its_name_has_its_tasks_run_again) {
  running_fixture fixture({Step(1, 4)});
  fixture.WorkerOf(kJob).Restart(fixture.simulation.now());
  fixture.ExpectCompletedWithoutViolation();
  cr_assert_eq(fixture.simulation.starts(), 2U);
}

Test(worker, that_leaves_unanswered_orders_runs_each_task_once) {
  simulation_fixture fixture;
  for (std::uint32_t i = 0; i < fixture.simulation.worker_count(); ++i)
    fixture.simulation.worker(i).lose_order_answers = 2;
  fixture.simulation.Submit(0, kJob, {Step(4, 4, true)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert_eq(fixture.simulation.starts(), 4U);
}

Test(workers, all_out_of_reach_for_some_seconds_are_used_again) {
  running_fixture fixture({Step(6, 8)});
  const std::uint32_t leader = fixture.Leader();
  fixture.simulation.entry(leader).cut_from_workers = true;
  fixture.simulation.RunFor(work::duration(9000));
  fixture.simulation.entry(leader).cut_from_workers = false;
  fixture.ExpectCompletedWithoutViolation();
}

Test(catalog, published_twice_while_an_entry_reads_is_skipped_to_the_newest) {
  simulation_fixture fixture;
  const std::uint32_t cut = fixture.Follower();
  fixture.simulation.entry(cut).cut_from_store = true;
  fixture.simulation.entry(cut).cut_from_peers = true;
  fixture.simulation.RunFor(work::duration(1500));
  fixture.simulation.store().max_page_items = 1;
  for (std::uint64_t version = 7; version < 12; ++version)
    fixture.simulation.Publish({.version = version});
  fixture.simulation.entry(cut).cut_from_store = false;
  fixture.simulation.RunFor(work::duration(1500));
  const auto in_force = fixture.LinesOf("catalog_in_force");
  const std::string name = "entry-" + std::to_string(cut);
  const auto count = std::ranges::count_if(in_force, [&](const auto& line) {
    return line.find(name) != std::string::npos;
  });
  // The first version, the one that was read first after the cut, the newest.
  cr_assert_eq(count, 3);
  cr_assert(in_force.back().find(name + " catalog_in_force 11") !=
            std::string::npos);
}

Test(catalog, newer_at_the_leader_is_not_asked_for_while_the_store_is_read) {
  simulation_fixture fixture;
  const std::uint32_t slow = fixture.Follower();
  // The catalog takes seconds to arrive over this entry's link.
  fixture.simulation.entry(slow).catalog_delay = work::duration(3000);
  fixture.simulation.RunFor(work::duration(3500));
  fixture.simulation.Publish({.version = 7});
  fixture.simulation.RunFor(work::duration(7000));
  const auto in_force = fixture.LinesOf("catalog_in_force");
  cr_assert(in_force.back().find("catalog_in_force 7 source=store") !=
            std::string::npos);
  cr_assert(fixture.LinesOf("source=peer").empty());
}

Test(store,
     slow_while_many_entries_accept_jobs_stores_them_through_the_leader) {
  constexpr std::uint32_t kEntries = 20;
  simulation_fixture fixture({.entries = kEntries});
  fixture.simulation.store().append_time = work::duration(400);
  fixture.simulation.Submit(fixture.Leader(), kJob, {Step(1, 1)});
  fixture.simulation.RunFor(work::duration(2000));
  std::vector<std::uint64_t> calls;
  for (std::uint32_t entry = 0; entry < kEntries; ++entry) {
    const std::string job = "00000000000002" + std::to_string(10 + entry);
    calls.push_back(fixture.simulation.Submit(entry, job, {Step(1, 1)}));
  }
  fixture.simulation.RunFor(work::duration(3000));
  for (const std::uint64_t call : calls) {
    cr_assert(
        fixture.simulation.IsAnswered(call, work::answer_kind::kAccepted));
  }
}

Test(successor, places_new_jobs_while_a_worker_is_still_out_of_reach) {
  simulation_fixture fixture;
  fixture.simulation.worker(0).cut = true;
  const std::uint32_t first = fixture.Leader();
  fixture.simulation.Kill(first);
  cr_assert(fixture.simulation.RunUntil(
      [&] {
        const auto leader = fixture.simulation.Leader();
        return leader && *leader != first;
      },
      work::duration(4000)));
  fixture.simulation.Submit(fixture.Leader(), kJob, {Step(2, 8)}, "urgent");
  cr_assert(fixture.Runs(kJob, work::duration(400)));
}

Test(successor, starts_no_older_unit_while_a_worker_may_run_it_without_record) {
  simulation_fixture fixture({.task_duration = work::duration(3000)});
  const std::uint32_t first = fixture.Leader();
  // The store takes the job, but none of the leader's records of its start.
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
  fixture.simulation.Kill(first);
  fixture.WorkerOf(kJob).cut = true;
  fixture.simulation.RunFor(work::duration(20000));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
}
