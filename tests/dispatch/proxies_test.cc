// Leaders that have other entries call the workers.

#include <algorithm>
#include <chrono>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint32_t kEntries = 4;
constexpr std::uint32_t kWorkers = 6;
constexpr std::uint32_t kTasks = 12;
constexpr work::duration kTaskDuration{9000};

// A leader that calls at most half of its workers itself, so that two of its
// three followers are its proxies, and a job with tasks on all workers.
struct proxied_fixture : simulation_fixture {
  proxied_fixture()
      : simulation_fixture({.entries = kEntries,
                            .workers = kWorkers,
                            .task_duration = kTaskDuration,
                            .workers_per_core = kWorkers / 2}) {
    simulation.Submit(Follower(), kJob, {Step(kTasks, 4)});
    cr_assert(simulation.RunUntil([&] { return simulation.starts() == kTasks; },
                                  work::duration(1500)));
  }

  const auto& LeaderState() { return simulation.entry(Leader()).state.leader; }

  // An entry that is a proxy now.
  std::uint32_t Proxy() {
    for (std::uint32_t i = 0; i < kEntries; ++i) {
      if (LeaderState().proxies.Contains(
              work::entry_id("entry-" + std::to_string(i))))
        return i;
    }
    cr_assert_fail("no proxy");
    return 0;
  }

  void ExpectCompletedInOneRunEach() {
    cr_assert(Ends(kJob, work::job_phase::kCompleted));
    cr_assert(Violation().empty(), "%s", Violation().c_str());
    cr_assert_eq(simulation.starts(), kTasks);
  }
};

}  // namespace

// Guards against a leader whose share of a core is used up by calls to workers
// while the other entries idle.
Test(leader, of_more_workers_than_its_share_allows_has_proxies_call_them) {
  proxied_fixture fixture;
  cr_assert_eq(fixture.LeaderState().proxies.size(), 2U);
  const std::uint32_t leader = fixture.Leader();
  const std::uint64_t before = fixture.simulation.entry(leader).worker_calls;
  fixture.simulation.RunFor(work::duration(3000));
  cr_assert_eq(fixture.simulation.entry(leader).worker_calls, before);
  fixture.ExpectCompletedInOneRunEach();
}

Test(leader, of_as_many_workers_as_its_share_allows_calls_them_itself) {
  simulation_fixture fixture(
      {.workers = kWorkers, .workers_per_core = kWorkers});
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(4, 4)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  const auto& leader = fixture.simulation.entry(fixture.Leader()).state.leader;
  cr_assert(leader.proxies.empty());
}

// Guards against work that is started again because the process between the
// leader and a worker was lost.
Test(proxy, killed_while_tasks_run_is_replaced_and_no_task_starts_again) {
  proxied_fixture fixture;
  const std::uint32_t killed = fixture.Proxy();
  fixture.simulation.Kill(killed);
  cr_assert(fixture.simulation.RunUntil(
      [&] {
        const auto& proxies = fixture.LeaderState().proxies;
        return proxies.size() == 2 && !proxies.Contains(work::entry_id(
                                          "entry-" + std::to_string(killed)));
      },
      work::duration(2000)));
  fixture.ExpectCompletedInOneRunEach();
}

Test(proxy, restarted_at_once_is_not_sent_orders_for_its_former_process) {
  proxied_fixture fixture;
  const std::uint32_t restarted = fixture.Proxy();
  fixture.simulation.Kill(restarted);
  fixture.simulation.Start(restarted);
  fixture.ExpectCompletedInOneRunEach();
}

// Guards against a proxy that acts on an authority that has run out while it
// was paused.
Test(proxy, frozen_with_orders_for_it_sends_none_after_it_resumes) {
  proxied_fixture fixture;
  const std::uint32_t frozen = fixture.Proxy();
  fixture.simulation.Freeze(frozen);
  fixture.simulation.RunFor(work::duration(4000));
  const std::uint64_t before = fixture.simulation.entry(frozen).worker_calls;
  const std::uint64_t holds = fixture.simulation.holds();
  fixture.simulation.Thaw(frozen);
  cr_assert_eq(fixture.simulation.holds(), holds);
  cr_assert_geq(fixture.simulation.entry(frozen).worker_calls, before);
  fixture.ExpectCompletedInOneRunEach();
}

// Guards against sound workers that are taken for lost as one process does not
// reach them.
Test(proxy, cut_from_workers_is_replaced_and_no_task_starts_again) {
  proxied_fixture fixture;
  const std::uint32_t cut = fixture.Proxy();
  fixture.simulation.entry(cut).cut_from_workers = true;
  fixture.ExpectCompletedInOneRunEach();
  cr_assert(!fixture.LeaderState().proxies.Contains(
      work::entry_id("entry-" + std::to_string(cut))));
}

Test(proxy, cut_from_peers_is_replaced_and_no_task_starts_again) {
  proxied_fixture fixture;
  fixture.simulation.entry(fixture.Proxy()).cut_from_peers = true;
  fixture.ExpectCompletedInOneRunEach();
}

// Guards against two leaders whose orders are both carried out: orders of the
// one before may still be on their way at its proxies.
Test(leader, with_proxies_killed_is_replaced_and_no_task_starts_again) {
  proxied_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kOtherJob, {Step(2, 4)});
  fixture.simulation.RunFor(work::duration(20));
  fixture.simulation.Kill(fixture.Leader());
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Ends(kOtherJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against a leader that was paused and takes its proxies for silent,
// although their replies have arrived.
Test(leader, with_proxies_paused_for_a_second_keeps_them) {
  proxied_fixture fixture;
  const std::uint32_t leader = fixture.Leader();
  fixture.simulation.Freeze(leader);
  fixture.simulation.RunFor(work::duration(1000));
  fixture.simulation.Thaw(leader);
  fixture.simulation.RunFor(work::duration(150));
  cr_assert(fixture.LinesOf("proxy_dropped").empty());
  fixture.ExpectCompletedInOneRunEach();
}
