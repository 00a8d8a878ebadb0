// Starts at workers that announce their departure before they have answered.

#include <cstdint>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kWorkers = 4;
constexpr std::int64_t kAcceleratorsPerWorker = 8;
constexpr work::duration kTaskDuration{2000};
constexpr work::duration kNotice{30000};
// Later than the last repeat of a start.
constexpr work::duration kLateBy{6000};
// An entry of the registry is read within this time.
constexpr work::duration kKnownWithin{600};
// Starts can be repeated for less than this, through a proxy too.
constexpr work::duration kRepeatedFor{5000};

// Workers leave their first starts unanswered, and the one that gets the first
// of them announces its departure at once.
struct draining_start_fixture : simulation_fixture {
  explicit draining_start_fixture(std::uint32_t unanswered_starts,
                                  std::uint32_t workers = kWorkers,
                                  std::uint32_t workers_per_core = 1000000)
      : simulation_fixture({.workers = workers,
                            .task_duration = kTaskDuration,
                            .workers_per_core = workers_per_core}) {
    for (std::uint32_t i = 0; i < workers; ++i) {
      simulation.worker(i).late_starts = unanswered_starts;
      simulation.worker(i).late_by = kLateBy;
    }
  }

  void SubmitAndDrain(const work::step_spec& step) {
    const std::uint32_t before = simulation.worker(0).late_starts;
    simulation.Submit(Follower(), kJob, {step});
    cr_assert(simulation.RunUntil(
        [&] {
          for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
            if (simulation.worker(i).late_starts < before) {
              draining = i;
              return true;
            }
          }
          return false;
        },
        work::duration(3000)));
    simulation.Drain(draining, kNotice);
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      if (i != draining)
        simulation.worker(i).late_starts = 0;
    }
  }

  // True if a task begins on the worker once its entry has been read.
  bool StartsOnDrainingWorker() {
    simulation.RunFor(kKnownWithin);
    return simulation.RunUntil(
        [&] { return !simulation.worker(draining).running().empty(); },
        kRepeatedFor);
  }

  std::uint32_t draining = 0;
};

}  // namespace

Test(start, unanswered_by_a_worker_that_drains_is_not_repeated) {
  draining_start_fixture fixture(2);
  fixture.SubmitAndDrain(Step(1, kAcceleratorsPerWorker));
  cr_assert_not(fixture.StartsOnDrainingWorker());
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

Test(start,
     unanswered_through_a_proxy_by_a_worker_that_drains_is_not_repeated) {
  draining_start_fixture fixture(2, kWorkers, kWorkers / 2);
  fixture.SubmitAndDrain(Step(1, kAcceleratorsPerWorker));
  cr_assert_not(fixture.StartsOnDrainingWorker());
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Its task is placed elsewhere before any repeat of a start is due.
Test(start, unanswered_by_a_worker_that_drains_is_placed_elsewhere_soon) {
  draining_start_fixture fixture(2);
  fixture.SubmitAndDrain(Step(1, kAcceleratorsPerWorker));
  cr_assert(fixture.Runs(kJob, work::duration(2000)));
  cr_assert(fixture.simulation.worker(fixture.draining).running().empty());
}

// A worker gets its starts one after the other.
Test(start, waiting_for_others_at_a_worker_that_drains_is_not_sent) {
  constexpr std::uint32_t kUnanswered = 7;
  draining_start_fixture fixture(kUnanswered, 2);
  fixture.SubmitAndDrain(Step(2 * kAcceleratorsPerWorker, 1));
  cr_assert_not(fixture.StartsOnDrainingWorker());
  cr_assert_not(fixture.LinesOf("start_withheld").empty());
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

Test(gang, with_a_start_unanswered_by_a_worker_that_drains_runs_elsewhere) {
  draining_start_fixture fixture(2);
  fixture.SubmitAndDrain(Step(2, kAcceleratorsPerWorker, true));
  cr_assert_not(fixture.StartsOnDrainingWorker());
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}
