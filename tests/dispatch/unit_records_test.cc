// What the leader stores of its jobs' progress, who reads it, and when the ends
// of tasks are acknowledged.

#include <algorithm>
#include <string>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kTasks = 20;
constexpr work::duration kTaskDuration{4000};

struct stored_progress_fixture : simulation_fixture {
  explicit stored_progress_fixture(std::vector<work::step_spec> steps = {
                                       Step(kTasks, 1)}) {
    simulation.Submit(Follower(), kJob, steps);
    cr_assert(Runs(kJob, work::duration(1000)));
  }

  std::size_t UnitRecords() {
    const work::newest_read units =
        simulation.store().Newest({.source = work::feed::kUnits});
    return static_cast<std::size_t>(
        std::ranges::count_if(units.items, [](const work::feed_item& each) {
          return each.key.starts_with("unit/");
        }));
  }

  bool HasUnacknowledgedEnd() {
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      if (!simulation.worker(i).Listing().ended.empty())
        return true;
    }
    return false;
  }

  void ExpectCompletedWithStarts(std::uint64_t starts) {
    cr_assert(Ends(kJob, work::job_phase::kCompleted));
    cr_assert_eq(simulation.starts(), starts);
    cr_assert(Violation().empty(), "%s", Violation().c_str());
  }

  void ReplaceLeader() {
    const std::uint32_t first = Leader();
    simulation.Kill(first);
    simulation.store().refused.clear();
    AwaitSuccessorOf(first);
  }
};

// One worker: the end of its first task can't be stored, another task runs.
struct unstored_unit_fixture : simulation_fixture {
  unstored_unit_fixture()
      : simulation_fixture(
            {.entries = 1, .workers = 1, .task_duration = kTaskDuration}) {
    Start(kJob);
    simulation.RunFor(kTaskDuration - work::duration(500));
    Start(kOtherJob);
    simulation.store().refused = {work::feed::kUnits};
    cr_assert(
        simulation.RunUntil([&] { return !IsRunning(kJob); }, kTaskDuration));
    simulation.RunFor(work::duration(200));
    cr_assert(IsRunning(kOtherJob));
  }

  void Start(const char* job) {
    // A second step, so that the end of the first does not close the job.
    simulation.Submit(Leader(), job, {Step(1, 1), Step(1, 1, false, {0})});
    cr_assert(Runs(job, work::duration(300)));
  }
};

}  // namespace

// Guards against a store that is overloaded by its readers: each entry reads
// all records.
Test(records, of_a_job_with_many_tasks_are_no_more_than_of_one_with_few) {
  stored_progress_fixture fixture;
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  const auto& records = fixture.simulation.store().records();
  const auto of_job = std::ranges::count_if(records, [](const auto& each) {
    return each.key.find(kJob) != std::string::npos;
  });
  // Its submission, and its phases when it started and when it ended.
  cr_assert_eq(of_job, 3);
}

// Guards against units that stay in the store after their job.
Test(unit_records, of_a_closed_job_are_deleted) {
  stored_progress_fixture fixture;
  fixture.simulation.RunFor(work::duration(200));
  cr_assert_eq(fixture.UnitRecords(), kTasks);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.UnitRecords() == 0; }, work::duration(1000)));
}

// Guards against units that stay in the store when their leader is gone.
Test(unit_records, that_a_stopped_leader_left_are_deleted_by_its_successor) {
  stored_progress_fixture fixture;
  fixture.simulation.RunFor(work::duration(200));
  fixture.simulation.store().refused = {work::feed::kUnits};
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  fixture.ReplaceLeader();
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.UnitRecords() == 0; }, work::duration(4000)));
}

// Guards against work that runs twice: its end was acknowledged, and neither
// the unit nor the job was stored as done.
Test(end, that_closes_a_job_is_not_acknowledged_before_the_phase_is_stored) {
  stored_progress_fixture fixture({Step(2, 1)});
  fixture.simulation.store().refused = {work::feed::kRecords};
  cr_assert(fixture.simulation.RunUntil(
      [&] { return !fixture.IsRunning(kJob); }, work::duration(4000)));
  fixture.simulation.RunFor(work::duration(1500));
  cr_assert(fixture.HasUnacknowledgedEnd());
  fixture.ReplaceLeader();
  fixture.ExpectCompletedWithStarts(2U);
}

// Guards against work that runs twice: its end was acknowledged, and its unit
// was not stored as done.
Test(end, of_a_unit_is_not_acknowledged_before_the_unit_is_stored) {
  stored_progress_fixture fixture({Step(2, 1), Step(1, 1, false, {0})});
  fixture.simulation.store().refused = {work::feed::kUnits};
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.simulation.starts() == 3; }, work::duration(4000)));
  fixture.simulation.RunFor(work::duration(300));
  cr_assert(fixture.HasUnacknowledgedEnd());
  fixture.ReplaceLeader();
  fixture.ExpectCompletedWithStarts(3U);
}

// Guards against an end that is acknowledged before its effect is stored: an
// end of the worker's earlier process made it durable.
Test(end, of_a_worker_deleted_before_its_ends_were_stored_covers_no_later_one) {
  unstored_unit_fixture fixture;
  auto& simulation = fixture.simulation;
  simulation.worker(0).Crash();
  cr_assert(simulation.RunUntil(
      [&] { return !fixture.LinesOf("worker_deleted").empty(); },
      work::duration(20000)));
  simulation.worker(0).Restart(simulation.now());
  cr_assert(fixture.Runs(kOtherJob, work::duration(4000)));
  simulation.store().refused.clear();
  simulation.RunFor(work::duration(1000));
  // Nothing that happens from here on is stored.
  simulation.store().refused = {work::feed::kRecords, work::feed::kUnits};
  cr_assert(simulation.RunUntil([&] { return !fixture.IsRunning(kOtherJob); },
                                kTaskDuration));
  simulation.RunFor(work::duration(700));
  const auto ended = simulation.worker(0).Listing().ended;
  simulation.Kill(0);
  simulation.Start(0);
  simulation.store().refused.clear();
  cr_assert(fixture.Ends(kOtherJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
  cr_assert(!ended.empty() && ended.front().number == 1,
            "acknowledged although neither unit nor phase is stored");
}

// Guards against ends that are never acknowledged while jobs close one after
// the other, so that there is always a change in an append.
Test(ends, of_jobs_that_close_without_pause_are_acknowledged_meanwhile) {
  constexpr work::duration kSubmitInterval{40};
  constexpr std::uint64_t kFirstJob = 1000000000000000;
  constexpr std::uint32_t kJobs = 100;
  simulation_fixture fixture({.task_duration = work::duration(300)});
  fixture.simulation.store().append_time = work::duration(50);
  for (std::uint32_t i = 0; i < kJobs; ++i) {
    fixture.simulation.Submit(fixture.Follower(), std::to_string(kFirstJob + i),
                              {Step(1, 1)});
    fixture.simulation.RunFor(kSubmitInterval);
  }
  std::size_t listed = 0;
  for (std::uint32_t i = 0; i < fixture.simulation.worker_count(); ++i)
    listed += fixture.simulation.worker(i).Listing().ended.size();
  // Those of the last second.
  cr_assert_leq(listed, 25U, "%s ends listed", std::to_string(listed).c_str());
}
