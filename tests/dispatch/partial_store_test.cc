// Jobs and elections while one stream of the store takes no appends.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr work::duration kOutage{10000};
// When there is capacity, a unit starts within this time of its submission.
constexpr work::duration kMaxStartDelay{3000};

// A job with a second step is running, and appends to the units are refused
// from then on.
struct units_refused_fixture : simulation_fixture {
  explicit units_refused_fixture(work::duration task_duration)
      : simulation_fixture(
            {.workers = 2, .seed = 5, .task_duration = task_duration}) {
    simulation.Submit(Follower(), kJob, {Step(4, 1), Step(4, 1, false, {0})});
    cr_assert(Runs(kJob, work::duration(1000)));
    simulation.store().refused = {work::feed::kUnits};
  }
};

}  // namespace

// Guards against entries that replace one another as leader, none doing better.
Test(leader, with_only_the_units_refused_is_not_replaced) {
  units_refused_fixture fixture(work::duration(2000));
  const std::size_t elections = fixture.LinesOf("leadership_won").size();
  fixture.simulation.RunFor(kOutage);
  const std::size_t later = fixture.LinesOf("leadership_won").size();
  cr_assert_eq(later, elections, "%zu elections", later - elections);
}

// Guards against starts that wait for a stream which only a successor reads.
Test(job, submitted_while_only_the_units_are_refused_starts_in_time) {
  units_refused_fixture fixture(work::duration(1000));
  auto& simulation = fixture.simulation;
  simulation.RunFor(kOutage);
  simulation.Submit(fixture.Follower(), kOtherJob, {Step(1, 1)});
  cr_assert(fixture.Runs(kOtherJob, kMaxStartDelay));
}

// Guards against running a task twice at a time when a leader without units has
// started it on a worker that is missing from its successor's registry.
Test(successor, of_a_leader_with_only_the_units_refused_starts_no_task_twice) {
  simulation_fixture fixture(
      {.workers = 2, .task_duration = work::duration(12000)});
  auto& simulation = fixture.simulation;
  simulation.store().refused = {work::feed::kUnits};
  simulation.Submit(fixture.Follower(), kJob, {Step(1, 8)});
  cr_assert(fixture.Runs(kJob, kMaxStartDelay));
  fixture.WorkerOf(kJob).cut_from_store = true;
  simulation.RunFor(work::duration(4000));
  simulation.Kill(fixture.Leader());
  simulation.store().refused.clear();
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}
