// Tasks that the leader gives up, and the workers on which they may still run
// or have ended.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr work::duration kHeartbeatInterval{1500};
constexpr work::duration kLongNotice{30000};

// One worker runs a task that takes longer than a lease, and announces that it
// leaves some time after the end of the task.
struct draining_fixture : simulation_fixture {
  static constexpr work::duration kTaskDuration{9000};

  draining_fixture() : simulation_fixture({.task_duration = kTaskDuration}) {
    const work::step_spec step = Step(1, 8);
    simulation.Submit(
        0, kJob, {{.tasks = 1, .need = step.need, .estimate = kTaskDuration}});
    cr_assert(simulation.RunUntil([&] { return IsRunning(kJob); },
                                  work::duration(3000)));
    draining = IndexOfWorkerOf(kJob);
    simulation.Drain(draining, kLongNotice);
    simulation.RunFor(kHeartbeatInterval);
  }

  std::uint32_t IndexOfWorkerOf(const std::string& job) {
    const work::worker_id id = WorkerOf(job).id;
    std::uint32_t index = 0;
    while (simulation.worker(index).id != id)
      ++index;
    return index;
  }

  std::uint32_t draining = 0;
};

}  // namespace

// Guards against running a task twice at a time when a draining worker is cut
// off and its registry entry expires before its leases.
Test(worker_draining, cut_off_keeps_its_task_until_its_lease_has_expired) {
  draining_fixture fixture;
  fixture.simulation.worker(fixture.draining).cut = true;
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
  cr_assert_eq(fixture.simulation.starts(), 2U);
}
