// Workers that restart under their ID after their machine's clock was set back:
// the new process says that it was started before the one that has ended.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kWorkers = 2;
constexpr work::duration kTaskDuration{3000};
constexpr std::uint64_t kFirstLife = 10;

// All workers run a task of the job.
struct earlier_life_fixture : simulation_fixture {
  earlier_life_fixture()
      : simulation_fixture({.workers = kWorkers,
                            .first_life = kFirstLife,
                            .task_duration = kTaskDuration}) {
    simulation.Submit(Follower(), kJob, {Step(kWorkers, 8)});
    cr_assert(simulation.RunUntil(
        [&] { return simulation.starts() == kWorkers; }, work::duration(3000)));
  }
};

}  // namespace

// Guards against a unit that counts as placed for ever, and a worker that gets
// no work any more, when listings of the new process are taken for old ones.
Test(worker, restarted_after_its_clock_was_set_back_has_its_task_run_again) {
  earlier_life_fixture fixture;
  fixture.simulation.worker(0).RestartWithEarlierLife(fixture.simulation.now());
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted, 4 * kTaskDuration));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
  cr_assert_eq(fixture.simulation.starts(), kWorkers + 1);
}

// Guards against a worker that gets no work because its registry entry is taken
// for that of an earlier process.
Test(worker, idle_and_restarted_after_its_clock_was_set_back_gets_work) {
  earlier_life_fixture fixture;
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  for (std::uint32_t i = 0; i < kWorkers; ++i)
    fixture.simulation.worker(i).RestartWithEarlierLife(
        fixture.simulation.now());
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(kWorkers, 8)});
  cr_assert(
      fixture.Ends(kOtherJob, work::job_phase::kCompleted, 4 * kTaskDuration));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}
