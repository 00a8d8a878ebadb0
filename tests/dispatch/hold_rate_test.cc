// How often the leader holds its workers.

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr work::duration kTaskDuration{4000};
constexpr work::duration kLongPoll{1500};

// One worker, which answers a hold at once while it lists an end. It has ended
// one task while the store was down, and runs another.
struct unstored_end_fixture : simulation_fixture {
  unstored_end_fixture()
      : simulation_fixture({.workers = 1,
                            .max_hold_time = kLongPoll,
                            .listed_ends_answer_holds = true,
                            .task_duration = kTaskDuration}) {
    Start(kJob);
    simulation.RunFor(kTaskDuration - work::duration(500));
    Start(kOtherJob);
    simulation.store().down = true;
    cr_assert(
        simulation.RunUntil([&] { return !IsRunning(kJob); }, kTaskDuration));
    cr_assert(IsRunning(kOtherJob));
  }

  std::uint64_t HoldsDuring(work::duration time) {
    const std::uint64_t before = simulation.holds();
    simulation.RunFor(time);
    return simulation.holds() - before;
  }

 private:
  void Start(const char* job) {
    simulation.Submit(Follower(), job, {Step(1, 1)});
    cr_assert(Runs(job, work::duration(300)));
  }
};

}  // namespace

// Guards against a leader that is busy with holds that can acknowledge nothing.
Test(worker, with_ends_that_cannot_be_stored_is_held_twice_a_second_at_most) {
  unstored_end_fixture fixture;
  fixture.simulation.RunFor(work::duration(100));
  const std::uint64_t holds = fixture.HoldsDuring(work::duration(2000));
  cr_assert_leq(holds, 4U, "%s holds", std::to_string(holds).c_str());
}

// Guards against ends that are acknowledged late because holds are delayed.
Test(worker, with_ends_that_were_stored_late_is_acknowledged_at_once) {
  unstored_end_fixture fixture;
  fixture.simulation.RunFor(work::duration(2000));
  fixture.simulation.store().down = false;
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.simulation.worker(0).Listing().ended.empty(); },
      work::duration(300)));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}
