// Workers whose room changes.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr work::resources kSmallRoom{.cpu_millis = 16000,
                                     .memory_mb = 16384,
                                     .accelerators = 2};

// One worker, which runs a task.
struct one_worker_fixture : simulation_fixture {
  one_worker_fixture()
      : simulation_fixture(
            {.workers = 1, .task_duration = work::duration(3000)}) {
    simulation.Submit(Follower(), kJob, {Step(1, 2)});
    cr_assert(Runs(kJob, work::duration(1000)));
  }

  // True when no task of the other job has started after `time`.
  bool StartsNothingFor(work::duration time) {
    return !Runs(kOtherJob, time) && Violation().empty();
  }
};

}  // namespace

// Guards against starts beyond the room of a worker that came back with less:
// its restart shows in its listing before its registry entry is read.
Test(worker, restarted_with_less_room_gets_no_more_before_its_entry_is_read) {
  one_worker_fixture fixture;
  tests::simulated_worker& worker = fixture.simulation.worker(0);
  worker.cut_from_store = true;
  worker.Restart(fixture.simulation.now());
  worker.capacity = kSmallRoom;
  cr_assert(fixture.simulation.RunUntil(
      [&] { return !fixture.LinesOf("worker_restarted").empty(); },
      work::duration(1000)));
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(1, 6)});
  cr_assert(fixture.StartsNothingFor(work::duration(1500)), "%s",
            fixture.Violation().c_str());
  worker.cut_from_store = false;
  cr_assert(fixture.StartsNothingFor(work::duration(3000)), "%s",
            fixture.Violation().c_str());
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
}

// Guards against starts beyond the room of a worker whose room has shrunk, and
// against a job that waits on when it has grown again.
Test(worker, whose_room_shrinks_and_grows_gets_what_fits) {
  one_worker_fixture fixture;
  tests::simulated_worker& worker = fixture.simulation.worker(0);
  const work::resources whole = worker.capacity;
  worker.capacity = kSmallRoom;
  fixture.simulation.RunFor(work::duration(2500));
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(1, 8)});
  cr_assert(fixture.StartsNothingFor(work::duration(3000)), "%s",
            fixture.Violation().c_str());
  worker.capacity = whole;
  cr_assert(fixture.Runs(kOtherJob, work::duration(3000)));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}
