// Failure domains that operators evacuate.

#include <algorithm>
#include <cstdint>

#include "dispatch/simulation_fixture.h"

namespace dispatch = parsleyhitch::dispatch;
namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::simulation_options;
using tests::Step;

namespace {

constexpr std::uint32_t kWorkersPerRack = 3;
constexpr std::uint32_t kWorkers = 2 * kWorkersPerRack;
constexpr std::int64_t kAcceleratorsPerWorker = 8;
constexpr char kDomain[] = "domain-0";
constexpr char kOtherDomain[] = "domain-1";
// By the users' bound an evacuation is in force within this time.
constexpr work::duration kBound{5000};

// Two failure domains of one rack each.
struct evacuation_fixture : simulation_fixture {
  explicit evacuation_fixture(simulation_options options = {})
      : simulation_fixture(WithDomains(std::move(options))) {}

  static simulation_options WithDomains(simulation_options options) {
    options.workers = kWorkers;
    options.workers_per_rack = kWorkersPerRack;
    options.task_duration = work::duration(2000);
    return options;
  }

  std::size_t RunningIn(const std::string& domain) {
    std::size_t running = 0;
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      if (simulation.worker(i).failure_domain.value() == domain)
        running += simulation.worker(i).running().size();
    }
    return running;
  }

  // True if the entry knows that the domain is evacuated.
  bool Knows(std::uint32_t entry, const char* domain) {
    return simulation.entry(entry).state.evacuations.active.contains(
        work::failure_domain_id(domain));
  }

  // Fills every worker, as far as starts are allowed.
  void SubmitForAllWorkers(const char* job) {
    simulation.Submit(Follower(), job,
                      {Step(kWorkers, kAcceleratorsPerWorker)});
  }
};

}  // namespace

Test(unit, submitted_while_a_domain_is_evacuated_starts_only_elsewhere) {
  evacuation_fixture fixture;
  fixture.simulation.Evacuate(kDomain);
  fixture.simulation.RunFor(kBound);
  fixture.SubmitForAllWorkers(kJob);
  fixture.simulation.RunFor(work::duration(1000));
  cr_assert_eq(fixture.RunningIn(kDomain), 0U);
  cr_assert_eq(fixture.RunningIn(kOtherDomain), kWorkersPerRack);
}

Test(unit, that_runs_in_a_domain_when_it_is_evacuated_runs_on) {
  evacuation_fixture fixture;
  fixture.SubmitForAllWorkers(kJob);
  fixture.simulation.RunFor(work::duration(500));
  fixture.simulation.Evacuate(kDomain);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert_eq(fixture.simulation.starts(), kWorkers);
}

Test(unit, that_waits_for_an_evacuated_domain_starts_once_it_is_returned) {
  evacuation_fixture fixture;
  fixture.simulation.Evacuate(kDomain);
  fixture.simulation.Evacuate(kOtherDomain);
  fixture.simulation.RunFor(kBound);
  fixture.SubmitForAllWorkers(kJob);
  fixture.simulation.RunFor(work::duration(3000));
  cr_assert_eq(fixture.simulation.starts(), 0U);
  fixture.simulation.ReturnDomain(kDomain);
  cr_assert(fixture.Runs(kJob, work::duration(2000)));
  cr_assert_eq(fixture.RunningIn(kOtherDomain), 0U);
}

// Guards against starts that are repeated after their domain was evacuated.
Test(start, unanswered_in_a_domain_that_is_evacuated_is_not_repeated) {
  evacuation_fixture fixture;
  for (std::uint32_t i = 0; i < kWorkersPerRack; ++i) {
    fixture.simulation.worker(i).late_starts = 2;
    fixture.simulation.worker(i).late_by = work::duration(30000);
  }
  fixture.SubmitForAllWorkers(kJob);
  fixture.simulation.RunFor(work::duration(100));
  fixture.simulation.Evacuate(kDomain);
  fixture.simulation.RunFor(kBound);
  cr_assert_eq(fixture.RunningIn(kDomain), 0U);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

Test(successor, of_a_leader_starts_nothing_in_an_evacuated_domain) {
  evacuation_fixture fixture;
  fixture.simulation.Evacuate(kDomain);
  fixture.simulation.RunFor(kBound);
  const std::uint32_t former = fixture.Leader();
  fixture.simulation.Kill(former);
  fixture.AwaitSuccessorOf(former);
  fixture.simulation.Submit(fixture.Leader(), kJob,
                            {Step(kWorkers, kAcceleratorsPerWorker)});
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
  fixture.simulation.RunFor(work::duration(1000));
  cr_assert_eq(fixture.RunningIn(kDomain), 0U);
}

// Guards against a leader whose own reads of the operators' stream are late.
Test(leader, that_reads_an_evacuation_late_learns_of_it_from_its_peers) {
  evacuation_fixture fixture;
  fixture.simulation.entry(fixture.Leader()).catalog_delay = 2 * kBound;
  fixture.simulation.Evacuate(kDomain);
  fixture.simulation.RunFor(kBound);
  fixture.SubmitForAllWorkers(kJob);
  fixture.simulation.RunFor(work::duration(1000));
  cr_assert_eq(fixture.RunningIn(kDomain), 0U);
}

Test(evacuation, read_before_the_store_went_away_stays_in_force) {
  evacuation_fixture fixture;
  fixture.SubmitForAllWorkers(kJob);
  fixture.simulation.RunFor(work::duration(500));
  fixture.simulation.Evacuate(kDomain);
  fixture.simulation.RunFor(work::duration(500));
  fixture.SubmitForAllWorkers(kOtherJob);
  fixture.simulation.RunFor(work::duration(500));
  fixture.simulation.store().down = true;
  fixture.simulation.RunFor(work::duration(3000));
  cr_assert_eq(fixture.RunningIn(kDomain), 0U);
  cr_assert_eq(fixture.RunningIn(kOtherDomain), kWorkersPerRack);
}

Test(evacuation, ended_while_history_is_dropped_is_no_longer_in_force) {
  evacuation_fixture fixture;
  fixture.simulation.Evacuate(kDomain);
  fixture.simulation.RunFor(kBound);
  const std::uint32_t follower = fixture.Follower();
  fixture.simulation.Kill(fixture.Leader());
  fixture.simulation.Freeze(follower);
  fixture.simulation.RunFor(work::duration(4000));
  fixture.simulation.ReturnDomain(kDomain);
  fixture.simulation.store().Compact();
  fixture.simulation.Thaw(follower);
  fixture.simulation.RunFor(kBound);
  cr_assert_not(fixture.Knows(follower, kDomain));
}

// Guards against starts that a proxy sends for a leader that does not know of
// the evacuation yet.
Test(proxy, asked_for_a_start_in_an_evacuated_domain_withholds_it) {
  evacuation_fixture fixture;
  fixture.simulation.Evacuate(kDomain);
  fixture.simulation.RunFor(kBound);
  const std::uint32_t proxy = fixture.Follower();
  cr_assert(fixture.Knows(proxy, kDomain));
  tests::simulated_entry& entry = fixture.simulation.entry(proxy);
  const auto start_in = [](const char* domain) {
    return work::start_run{
        .call = 7,
        .target = {.worker = work::worker_id("w-0"),
                   .failure_domain = work::failure_domain_id(domain)}};
  };
  const work::event forwarded = work::peer_heard{
      .at = entry.state.now,
      .message = {.from = work::entry_id("entry-9"),
                  .content = work::orders_forwarded{
                      .epoch = entry.state.leadership.epoch,
                      .address = "10.0.0.9:1",
                      .incarnation = entry.state.incarnation,
                      .orders = {start_in(kDomain), start_in(kOtherDomain)}}}};
  const dispatch::step done =
      dispatch::Reduce(*entry.environment, entry.state, forwarded);
  std::vector<std::string> sent;
  for (const work::effect& each : done.effects) {
    if (const auto* start = std::get_if<work::start_run>(&each))
      sent.push_back(start->target.failure_domain.value());
  }
  cr_assert_eq(sent.size(), 1U);
  cr_assert_eq(sent.front(), kOtherDomain);
}
