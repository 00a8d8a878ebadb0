// Urgent gangs that arrive at a service full of lower work.

#include <algorithm>
#include <map>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr char kLowerJob[] = "00000000000000c3";
constexpr std::uint32_t kWorkers = 6;
constexpr std::int64_t kWholeWorker = 8;
// More accelerators than the workspace is guaranteed.
constexpr std::uint32_t kUrgentMembers = 3;
// Within the guarantee.
constexpr std::uint32_t kGuaranteedMembers = 2;
constexpr work::duration kRun{3000};
// The users' bound for guarantees.
constexpr work::duration kGuaranteeBound{2700};

// Every worker runs a task of a background job, all started about now.
struct full_service_fixture : simulation_fixture {
  explicit full_service_fixture(work::duration spread = work::duration(0),
                                bool checkpointed = false,
                                work::duration run = kRun)
      : simulation_fixture({.workers = kWorkers,
                            .task_duration = run,
                            .task_duration_spread = spread}) {
    simulation.Submit(0, kLowerJob, {LowerStep(kWorkers, checkpointed)},
                      "background");
    cr_assert(simulation.RunUntil(
        [&] { return TasksOf(kLowerJob) == kWorkers; }, work::duration(1000)));
  }

  static work::step_spec LowerStep(std::uint32_t tasks, bool checkpointed) {
    const work::step_spec step = Step(tasks, kWholeWorker);
    return {.tasks = tasks,
            .need = step.need,
            .estimate = kRun,
            .checkpointed = checkpointed};
  }

  std::uint32_t TasksOf(const std::string& job) {
    std::uint32_t count = 0;
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      for (const auto& [task, run] : simulation.worker(i).running())
        count += task.job.value() == job ? 1 : 0;
    }
    return count;
  }

  void SubmitUrgent(const std::string& job, std::uint32_t members) {
    simulation.Submit(Follower(), job, {Step(members, kWholeWorker, true)},
                      "urgent");
  }

  bool Starts(const std::string& job,
              std::uint32_t members,
              work::duration within) {
    return simulation.RunUntil([&] { return TasksOf(job) == members; }, within);
  }

  std::size_t Preemptions() const { return LinesOf("unit_preempted").size(); }

  // How often the unit was stopped that was stopped most often.
  std::uint32_t MostStopsOfOneUnit() {
    std::uint32_t most = 0;
    const auto& units = simulation.entry(Leader()).state.leader.units;
    for (const auto& [id, each] : units)
      most = std::max(most, each.preemptions);
    return most;
  }
};

}  // namespace

// Guards against units that are stopped shortly before their end, with all
// their work.
Test(urgent_gang,
     that_arrives_when_units_are_about_to_end_starts_without_stop) {
  full_service_fixture fixture;
  fixture.simulation.RunFor(kRun - work::duration(500));
  fixture.SubmitUrgent(kJob, kUrgentMembers);
  cr_assert(fixture.Starts(kJob, kUrgentMembers, work::duration(1000)));
  cr_assert_eq(fixture.Preemptions(), 0U);
  cr_assert_eq(fixture.simulation.stops(), 0U);
  cr_assert_not(fixture.LinesOf("unit_waits_for_room").empty());
}

// Guards against waits that no expected end justifies.
Test(urgent_gang, that_arrives_long_before_units_end_has_some_stopped_at_once) {
  full_service_fixture fixture;
  fixture.simulation.RunFor(work::duration(400));
  fixture.SubmitUrgent(kJob, kUrgentMembers);
  cr_assert(fixture.Starts(kJob, kUrgentMembers, work::duration(800)));
  cr_assert_eq(fixture.Preemptions(), kUrgentMembers);
}

// Guards against room that comes free piece by piece and that lower work takes
// before the gang fits.
Test(urgent_gang, that_waits_for_several_ends_keeps_the_room_of_the_first) {
  full_service_fixture fixture{work::duration(1000)};
  fixture.simulation.Submit(0, kOtherJob, {Step(1, kWholeWorker)}, "normal");
  fixture.simulation.RunFor(kRun - work::duration(100));
  fixture.SubmitUrgent(kJob, kUrgentMembers);
  cr_assert(fixture.Starts(kJob, kUrgentMembers, work::duration(900)));
  cr_assert_eq(fixture.Preemptions(), 0U);
  cr_assert_not(fixture.IsRunning(kOtherJob));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

Test(guaranteed_gang,
     that_arrives_when_units_are_about_to_end_has_none_stopped) {
  full_service_fixture fixture;
  fixture.simulation.RunFor(kRun - work::duration(150));
  fixture.SubmitUrgent(kJob, kGuaranteedMembers);
  cr_assert(fixture.Starts(kJob, kGuaranteedMembers, work::duration(1000)));
  cr_assert_eq(fixture.Preemptions(), 0U);
}

// Guards against a guarantee that waits for ends as long as its objective
// allows, which the platform does not.
Test(guaranteed_gang, that_arrives_earlier_begins_within_its_bound_by_stops) {
  full_service_fixture fixture;
  fixture.simulation.RunFor(kRun - work::duration(900));
  fixture.SubmitUrgent(kJob, kGuaranteedMembers);
  cr_assert(fixture.Starts(kJob, kGuaranteedMembers, work::duration(800)));
  cr_assert_eq(fixture.Preemptions(), kGuaranteedMembers);
}

// Guards against a wait for runs that stop making progress.
Test(guaranteed_gang, that_waits_for_workers_that_are_cut_off_begins_in_time) {
  full_service_fixture fixture;
  fixture.simulation.RunFor(kRun - work::duration(300));
  for (std::uint32_t i = 0; i < kWorkers / 2; ++i)
    fixture.simulation.worker(i).cut = true;
  fixture.SubmitUrgent(kJob, kGuaranteedMembers);
  cr_assert(fixture.Starts(kJob, kGuaranteedMembers, kGuaranteeBound));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against work that is thrown away while other work would resume.
Test(unit_with_checkpoints, is_stopped_before_one_that_would_lose_its_work) {
  simulation_fixture fixture({.workers = 2, .task_duration = kRun});
  fixture.simulation.Submit(
      0, kOtherJob, {full_service_fixture::LowerStep(1, true)}, "background");
  fixture.simulation.RunFor(work::duration(300));
  fixture.simulation.Submit(
      0, kLowerJob, {full_service_fixture::LowerStep(1, false)}, "background");
  fixture.simulation.RunFor(work::duration(1000));
  cr_assert(fixture.IsRunning(kOtherJob) && fixture.IsRunning(kLowerJob));
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, kWholeWorker)},
                            "urgent");
  cr_assert(fixture.Runs(kJob, work::duration(1000)));
  cr_assert(fixture.IsRunning(kLowerJob));
  cr_assert_not(fixture.IsRunning(kOtherJob));
}

// Guards against one unit that is stopped again and again while others run on.
Test(unit, is_not_stopped_again_and_again_by_a_stream_of_urgent_jobs) {
  constexpr std::uint32_t kJobs = 12;
  constexpr work::duration kBetweenJobs{600};
  full_service_fixture fixture{work::duration(500)};
  fixture.simulation.Submit(0, kOtherJob,
                            {full_service_fixture::LowerStep(kWorkers, false)},
                            "background");
  std::uint32_t most_stops = 0;
  for (std::uint32_t i = 0; i < kJobs; ++i) {
    fixture.SubmitUrgent("00000000000001" + std::to_string(10 + i), 1);
    fixture.simulation.RunFor(kBetweenJobs);
    most_stops = std::max(most_stops, fixture.MostStopsOfOneUnit());
  }
  cr_assert_leq(most_stops, 1U, "%u stops", most_stops);
  cr_assert(fixture.Ends(kLowerJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against a choice that falls on the unit that has just started again,
// as it has the most of its run still to come.
Test(unit, that_was_stopped_is_not_the_next_to_be_stopped) {
  constexpr std::uint32_t kRounds = 4;
  full_service_fixture fixture{work::duration(0), true, work::duration(20000)};
  for (std::uint32_t i = 0; i < kRounds; ++i) {
    const std::string urgent = "00000000000002" + std::to_string(10 + i);
    fixture.SubmitUrgent(urgent, 1);
    cr_assert(fixture.Runs(urgent, work::duration(1500)));
    fixture.simulation.Cancel(fixture.Follower(), urgent);
    cr_assert(fixture.Starts(kLowerJob, kWorkers, work::duration(3000)));
  }
  cr_assert_eq(fixture.Preemptions(), kRounds);
  cr_assert_eq(fixture.MostStopsOfOneUnit(), 1U);
}

// Guards against a reservation that is lost with its leader: a successor knows
// of no progress and has others stopped, so that the unit still starts.
Test(successor, of_a_leader_with_a_unit_that_waits_for_room_starts_it) {
  full_service_fixture fixture;
  fixture.simulation.RunFor(kRun - work::duration(500));
  fixture.SubmitUrgent(kJob, kUrgentMembers);
  fixture.simulation.RunFor(work::duration(150));
  const std::uint32_t former = fixture.Leader();
  fixture.simulation.Kill(former);
  fixture.AwaitSuccessorOf(former);
  cr_assert(fixture.Starts(kJob, kUrgentMembers, tests::kTakeoverTime));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}
