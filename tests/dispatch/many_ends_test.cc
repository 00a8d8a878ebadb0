// Workers with more ends than they list at a time: their listings show neither
// that the latest tasks run nor how they ended.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

// Several times as many as a worker runs at a time, and more than it lists.
constexpr std::uint32_t kTasks = 900;
constexpr work::duration kTaskDuration{500};
constexpr work::duration kOutage{25000};
constexpr work::duration kEndsWithin{60000};

// One worker, whose ends can't be acknowledged while the store is away.
struct many_ends_fixture : simulation_fixture {
  many_ends_fixture()
      : simulation_fixture({.workers = 1, .task_duration = kTaskDuration}) {
    simulation.Submit(Follower(), kJob, {Step(kTasks, 0)});
    cr_assert(Runs(kJob, work::duration(3000)));
    simulation.store().down = true;
    simulation.RunFor(kOutage);
  }
};

}  // namespace

// Guards against running tasks again and again that have ended, when their
// worker lists only the oldest of its ends.
Test(worker, with_more_ends_than_it_lists_runs_no_task_again) {
  many_ends_fixture fixture;
  fixture.simulation.store().down = false;
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted, kEndsWithin));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
  cr_assert_eq(fixture.simulation.starts(), kTasks);
}
