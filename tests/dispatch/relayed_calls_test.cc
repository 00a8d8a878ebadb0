// Calls that are relayed to a leader whose catalog is older than that of the
// entry which took them.

#include <criterion/criterion.h>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr std::uint64_t kOlderVersion = 7;
constexpr std::uint64_t kNewerVersion = 8;
// Members relay their calls while appends take longer than 250 ms.
constexpr work::duration kSlowAppend{400};
constexpr work::duration kCatalogTime{100000};
constexpr work::duration kAnswerTime{3000};

// Only the newer catalog has the callers' key. The leader has not read it.
struct slow_leader_fixture : simulation_fixture {
  explicit slow_leader_fixture(work::duration append_time = work::duration(0)) {
    simulation.store().append_time = append_time;
    // Its records show the leader how long an append takes.
    simulation.Submit(Leader(), kOtherJob, {Step(1, 1)});
    simulation.RunFor(work::duration(2000));
    const work::catalog first =
        simulation.entry(Leader()).state.in_force.Get()->content;
    simulation.Publish({.version = kOlderVersion,
                        .queues = first.queues,
                        .services = first.services});
    simulation.RunFor(work::duration(2000));
    simulation.entry(Leader()).catalog_delay = kCatalogTime;
    simulation.Publish({.version = kNewerVersion,
                        .queues = first.queues,
                        .services = first.services,
                        .workspaces = first.workspaces});
    simulation.RunFor(work::duration(1000));
    cr_assert_eq(VersionAt(Leader()), kOlderVersion);
    cr_assert_eq(VersionAt(Follower()), kNewerVersion);
  }

  std::uint64_t VersionAt(std::uint32_t entry) {
    return simulation.entry(entry).state.in_force.Get()->content.version;
  }

  void CutFollowerFromStore() {
    simulation.entry(Follower()).cut_from_store = true;
    simulation.RunFor(work::duration(1000));
  }

  void ExpectRelayedAndAnswered(std::uint64_t call, work::answer_kind kind) {
    simulation.RunFor(kAnswerTime);
    cr_assert(simulation.IsAnswered(call, kind));
    cr_assert(!LinesOf(" relayed ").empty());
    cr_assert_eq(VersionAt(Leader()), kOlderVersion);
  }
};

}  // namespace

// Guards against a valid key that is answered with 401 by an entry which has
// had it in force before: its leader, whose appends are slow, had not.
Test(submission, relayed_to_a_slow_leader_with_an_older_catalog_is_accepted) {
  slow_leader_fixture fixture(kSlowAppend);
  const auto call =
      fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 1)});
  fixture.ExpectRelayedAndAnswered(call, work::answer_kind::kAccepted);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
}

// Guards against the same at an entry that the store turns away.
Test(submission, of_an_entry_without_store_to_an_older_catalog_is_accepted) {
  slow_leader_fixture fixture;
  fixture.CutFollowerFromStore();
  const auto call =
      fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 1)});
  fixture.ExpectRelayedAndAnswered(call, work::answer_kind::kAccepted);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
}

// Guards against the same for other calls.
Test(cancellation, relayed_to_a_leader_with_an_older_catalog_is_accepted) {
  slow_leader_fixture fixture;
  fixture.CutFollowerFromStore();
  const auto submission =
      fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 1)});
  fixture.simulation.RunFor(work::duration(1000));
  const auto call = fixture.simulation.Cancel(fixture.Follower(), kJob);
  fixture.ExpectRelayedAndAnswered(call, work::answer_kind::kAccepted);
  cr_assert(
      fixture.simulation.IsAnswered(submission, work::answer_kind::kAccepted));
}

// Guards against the same for an unknown job, which is looked for first.
Test(read,
     of_an_unknown_job_relayed_to_a_leader_with_an_older_catalog_is_gone) {
  slow_leader_fixture fixture;
  fixture.CutFollowerFromStore();
  const auto call = fixture.simulation.Read(fixture.Follower(), kJob);
  fixture.ExpectRelayedAndAnswered(call, work::answer_kind::kNoJob);
}
