// Starts that a worker leaves unanswered and carries out seconds later, while
// it rejects their repeats.

#include <vector>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kWorkers = 4;
constexpr work::duration kTaskDuration{4000};
constexpr work::duration kLateBy{2500};

// All workers leave their first start unanswered and carry it out late, and
// reject the following ones for longer than that.
struct late_start_fixture : simulation_fixture {
  explicit late_start_fixture(work::order_outcome outcome,
                              std::uint32_t workers_per_core = 1000000)
      : simulation_fixture({.workers = kWorkers,
                            .task_duration = kTaskDuration,
                            .workers_per_core = workers_per_core}),
        outcome_(outcome) {}

  void SubmitAndReject(const std::vector<work::step_spec>& steps) {
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      simulation.worker(i).late_starts = 1;
      simulation.worker(i).late_by = kLateBy;
      simulation.worker(i).refuses_starts_with = outcome_;
    }
    simulation.Submit(Follower(), kJob, steps);
    // Two jobs that a worker rejects have the leader shun it.
    simulation.Submit(Follower(), kOtherJob, {Step(1, 4)});
    // The workers that were ordered reject the repeats; the others are sound.
    simulation.RunFor(work::duration(500));
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      if (simulation.worker(i).late_starts > 0)
        Repair(i);
    }
  }

  void DrainRejectingWorkers() {
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      if (simulation.worker(i).refuses_starts_with)
        simulation.Drain(i, work::duration(30000));
    }
  }

  void Repair(std::uint32_t worker) {
    simulation.worker(worker).late_starts = 0;
    simulation.worker(worker).refuses_starts_with.reset();
  }

  void ExpectCompletedWithoutViolation() {
    simulation.RunFor(kLateBy);
    for (std::uint32_t i = 0; i < kWorkers; ++i)
      Repair(i);
    cr_assert(Ends(kJob, work::job_phase::kCompleted));
    simulation.RunFor(kTaskDuration);
    cr_assert(Violation().empty(), "%s", Violation().c_str());
  }

 private:
  work::order_outcome outcome_;
};

// The worker that gets the task leaves its starts unanswered until it is given
// up, and all stops. It carries them out when the leases in them have expired.
struct unanswered_stop_fixture : simulation_fixture {
  unanswered_stop_fixture()
      : simulation_fixture(
            {.workers = kWorkers, .task_duration = kTaskDuration}) {
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      simulation.worker(i).late_starts = kMaxStarts;
      simulation.worker(i).late_stops = kAllStops;
      simulation.worker(i).late_by = kLongAfter;
    }
    simulation.Submit(Follower(), kJob, {Step(1, 8)});
    cr_assert(simulation.RunUntil(
        [&] { return !LinesOf("unit_stopped").empty(); }, kGivenUpWithin));
    for (std::uint32_t i = 0; i < kWorkers; ++i)
      simulation.worker(i).late_starts = 0;
  }

  static constexpr std::uint32_t kMaxStarts = 4;
  static constexpr std::uint32_t kAllStops = 10000;
  static constexpr work::duration kGivenUpWithin{5000};
  static constexpr work::duration kLongAfter{20000};
  // A lease, the time of the task, and some time to act.
  static constexpr work::duration kEndsWithin{12000};
};

}  // namespace

// Guards against a unit that counts as placed for as long as the stops of a
// start that was never carried out are not answered.
Test(start, unanswered_with_stops_unanswered_is_given_up_after_its_lease) {
  unanswered_stop_fixture fixture;
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted,
                         unanswered_stop_fixture::kEndsWithin));
  fixture.simulation.RunFor(unanswered_stop_fixture::kLongAfter);
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
  cr_assert_eq(fixture.simulation.starts(), 1U);
}

// Guards against running a task twice at a time when an unhealthy worker
// refuses the repeat of a start that it carries out late.
Test(start, unanswered_and_then_refused_runs_its_task_once_at_a_time) {
  late_start_fixture fixture(work::order_outcome::kRefused);
  fixture.SubmitAndReject({Step(1, 4)});
  fixture.ExpectCompletedWithoutViolation();
}

// Guards against the same when the worker had no room for the repeat.
Test(start, unanswered_and_then_without_room_runs_its_task_once_at_a_time) {
  late_start_fixture fixture(work::order_outcome::kNoRoom);
  fixture.SubmitAndReject({Step(1, 4)});
  // The unit is placed elsewhere.
  fixture.DrainRejectingWorkers();
  fixture.ExpectCompletedWithoutViolation();
}

// Guards against the same when a proxy makes the calls.
Test(start, through_a_proxy_then_refused_runs_its_task_once_at_a_time) {
  late_start_fixture fixture(work::order_outcome::kRefused, kWorkers / 2);
  fixture.SubmitAndReject({Step(1, 4)});
  fixture.ExpectCompletedWithoutViolation();
}

// Guards against a gang that is placed again while a member of it may still be
// started.
Test(gang, with_starts_unanswered_and_then_refused_runs_once_at_a_time) {
  late_start_fixture fixture(work::order_outcome::kRefused);
  fixture.SubmitAndReject({Step(2, 4, true)});
  fixture.ExpectCompletedWithoutViolation();
}

// Guards against a late start of a job that was cancelled meanwhile.
Test(start, refused_and_carried_out_after_the_cancellation_does_not_run_on) {
  late_start_fixture fixture(work::order_outcome::kRefused);
  fixture.SubmitAndReject({Step(1, 4)});
  // Beyond the repeat, whose refusal is known then.
  fixture.simulation.RunFor(work::duration(600));
  fixture.simulation.Cancel(fixture.Follower(), kJob);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCancelled));
  for (std::uint32_t i = 0; i < kWorkers; ++i)
    fixture.Repair(i);
  fixture.simulation.RunFor(kLateBy);
  cr_assert_not(fixture.IsRunning(kJob));
}
