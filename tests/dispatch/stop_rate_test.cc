// How often the leader stops tasks.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kTasks = 8;

// A job of one step that runs.
struct running_job_fixture : simulation_fixture {
  explicit running_job_fixture(bool gang) {
    simulation.Submit(Follower(), kJob, {Step(kTasks, 2, gang)});
    cr_assert(Runs(kJob, work::duration(1000)));
  }
};

}  // namespace

// Guards against a leader that spends much of its time on stops of tasks that
// have ended: as many orders again as the starts of the last step.
Test(job, whose_gang_is_done_has_none_of_its_tasks_stopped) {
  running_job_fixture fixture(true);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  fixture.simulation.RunFor(work::duration(2000));
  cr_assert_eq(fixture.simulation.stops(), 0U);
}

// Guards against the same.
Test(job, whose_tasks_are_done_has_none_of_them_stopped) {
  running_job_fixture fixture(false);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  fixture.simulation.RunFor(work::duration(2000));
  cr_assert_eq(fixture.simulation.stops(), 0U);
}

// Guards against tasks that run on because no stop is sent to them.
Test(job, cancelled_while_its_gang_runs_has_all_of_its_tasks_stopped) {
  running_job_fixture fixture(true);
  fixture.simulation.Cancel(fixture.Follower(), kJob);
  cr_assert(fixture.simulation.RunUntil(
      [&] { return !fixture.IsRunning(kJob); }, work::duration(1000)));
  cr_assert_geq(fixture.simulation.stops(), std::uint64_t{kTasks});
}
