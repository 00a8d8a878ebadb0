// Workers that answer, but refuse holds or stops.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kWorkers = 4;
constexpr work::duration kTaskDuration{4000};
// A lease, with its margins, and a run.
constexpr work::duration kLeaseAndRun{12000};

struct refusing_fixture : simulation_fixture {
  refusing_fixture()
      : simulation_fixture(
            {.workers = kWorkers, .task_duration = kTaskDuration}) {}

  void ExpectCompletedWithoutViolation() {
    cr_assert(Ends(kJob, work::job_phase::kCompleted, kLeaseAndRun));
    cr_assert(Violation().empty(), "%s", Violation().c_str());
  }
};

}  // namespace

// Guards against a task that waits for ever for a worker whose holds are
// refused: they renew no lease and list no end.
Test(worker, refusing_holds_has_its_task_run_elsewhere_once_its_lease_lapsed) {
  refusing_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  cr_assert(fixture.Runs(kJob, kTaskDuration));
  fixture.WorkerOf(kJob).refuses_holds_with = work::order_outcome::kRefused;
  fixture.ExpectCompletedWithoutViolation();
}

// Guards against a task that waits for ever for the stop of a start which was
// not carried out and no longer can be.
Test(worker, refusing_to_stop_an_unanswered_start_frees_its_task_in_time) {
  refusing_fixture fixture;
  for (std::uint32_t i = 0; i < kWorkers; ++i) {
    tests::simulated_worker& each = fixture.simulation.worker(i);
    each.late_starts = 1;
    each.late_by = 2 * kLeaseAndRun;
    each.refuses_starts_with = work::order_outcome::kNoRoom;
    each.refuses_stops_with = work::order_outcome::kRefused;
  }
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  fixture.simulation.RunFor(work::duration(500));
  for (std::uint32_t i = 0; i < kWorkers; ++i) {
    if (fixture.simulation.worker(i).late_starts > 0) {
      fixture.simulation.worker(i).late_starts = 0;
      fixture.simulation.worker(i).refuses_starts_with.reset();
    }
  }
  fixture.ExpectCompletedWithoutViolation();
}
