// Workers that are taken away at short notice while they run tasks.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr work::duration kNotice{2100};
constexpr work::duration kTaskDuration{4000};

// A gang on whole workers, one of which leaves right after its start.
struct leaving_fixture : simulation_fixture {
  explicit leaving_fixture(work::duration task_duration)
      : simulation_fixture({.task_duration = task_duration}) {
    work::step_spec gang = Step(2, 8, true);
    simulation.Submit(0, kJob,
                      {{.tasks = gang.tasks,
                        .need = gang.need,
                        .estimate = task_duration,
                        .gang = true}});
    cr_assert(Runs(kJob, work::duration(3000)));
    leaving = IndexOfWorkerOf(kJob);
    simulation.Drain(leaving, kNotice);
  }

  std::uint32_t IndexOfWorkerOf(const std::string& job) {
    const work::worker_id id = WorkerOf(job).id;
    std::uint32_t index = 0;
    while (simulation.worker(index).id != id)
      ++index;
    return index;
  }

  std::uint32_t leaving = 0;
};

}  // namespace

Test(worker_leaving, with_a_gang_that_cannot_end_in_time_is_left_beforehand) {
  leaving_fixture fixture(kTaskDuration);
  fixture.simulation.RunFor(kNotice);
  cr_assert_eq(fixture.simulation.starts(), 4U);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted,
                         kTaskDuration + work::duration(500)));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

Test(worker_leaving, with_a_gang_that_ends_in_time_keeps_it) {
  leaving_fixture fixture(work::duration(900));
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted, kNotice));
  cr_assert_eq(fixture.simulation.starts(), 2U);
}

// Guards against rows of workers that left while idle and that are kept as long
// as the leader leads.
Test(worker_leaving, while_idle_is_forgotten) {
  constexpr std::uint32_t kWorkers = 4;
  simulation_fixture fixture({.workers = kWorkers});
  fixture.simulation.Drain(0, work::duration(500));
  const auto forgotten = [&] {
    return fixture.simulation.entry(fixture.Leader())
               .state.leader.workers.size() == kWorkers - 1;
  };
  cr_assert(fixture.simulation.RunUntil(forgotten, work::duration(12000)));
}
