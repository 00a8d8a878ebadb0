// How long an election takes, and what it asks of the store.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::simulation_fixture;

namespace {

// The entries of a large site.
constexpr std::uint32_t kEntries = 147;

struct large_site_fixture : simulation_fixture {
  large_site_fixture()
      : simulation_fixture({.entries = kEntries, .workers = 1}) {}

  // Kills all entries but those that are the last to claim.
  void KillAllButLast(std::uint32_t survivors) {
    std::vector<std::uint32_t> by_id;
    for (std::uint32_t i = 0; i < kEntries; ++i)
      by_id.push_back(i);
    std::ranges::sort(by_id, {}, [](std::uint32_t i) {
      return "entry-" + std::to_string(i);
    });
    for (std::uint32_t i = 0; i + survivors < kEntries; ++i)
      simulation.Kill(by_id[i]);
  }
};

// The leader is gone, and the store refuses the claims of the other entry.
struct refused_claim_fixture : simulation_fixture {
  refused_claim_fixture() : simulation_fixture({.entries = 2, .workers = 1}) {
    simulation.Kill(Leader());
    simulation.store().refused = {work::feed::kRecords};
    simulation.RunFor(work::duration(4000));
  }

  std::size_t Claims() const { return LinesOf("leadership_claimed").size(); }
};

}  // namespace

// Guards against an election that waits for entries which are gone: any number
// may be lost, and callers wait 3 s.
Test(leader, is_elected_in_time_after_most_entries_are_lost) {
  constexpr std::uint32_t kSurvivors = 5;
  constexpr work::duration kCallerPatience{3000};
  large_site_fixture fixture;
  auto& simulation = fixture.simulation;
  fixture.KillAllButLast(kSurvivors);
  const work::duration lost_at = simulation.now();
  cr_assert(simulation.RunUntil([&] { return simulation.Leader().has_value(); },
                                work::duration(60000)));
  const work::duration took = simulation.now() - lost_at;
  cr_assert_lt(took.count(), kCallerPatience.count(), "%lld ms",
               static_cast<long long>(took.count()));
}

// Guards against candidates that keep a store in trouble busy at a constant
// rate: their claims were the only appends without a growing pause.
Test(claims, that_fail_again_and_again_are_repeated_after_longer_pauses) {
  constexpr work::duration kTime{6000};
  refused_claim_fixture fixture;
  const std::size_t before = fixture.Claims();
  cr_assert_gt(before, 0U);
  fixture.simulation.RunFor(kTime);
  const std::size_t claims = fixture.Claims() - before;
  const auto most = static_cast<std::size_t>(
      kTime / (work::limits().store_retry_max / 2) + 1);
  cr_assert_leq(claims, most, "%zu claims", claims);
}

// Guards against a small entry as leader of a new site: all entries waited for
// the first configuration longer than their turns to claim are apart.
Test(leader, of_a_site_that_waits_for_its_configuration_is_the_largest_entry) {
  constexpr std::uint32_t kLargest = kEntries - 1;
  large_site_fixture fixture;
  auto& simulation = fixture.simulation;
  for (std::uint32_t i = 0; i < kEntries; ++i)
    simulation.Kill(i);
  // What is under way arrives nowhere.
  simulation.RunFor(work::duration(100));
  simulation.store() = tests::simulated_store();
  simulation.entry(kLargest).environment->cpu_millis = 2000;
  for (std::uint32_t i = 0; i < kEntries; ++i)
    simulation.Start(i);
  simulation.RunFor(work::duration(800));
  simulation.Publish({.version = 1});
  simulation.RunFor(work::duration(1000));
  cr_assert_eq(fixture.Leader(), kLargest);
  cr_assert_eq(fixture.LinesOf("leadership_won").size(), 2U);
}

// Guards against a small entry as successor of a leader that restarts: all
// candidates had waited for longer than their turns to claim are apart.
Test(leader, that_restarts_after_a_silence_is_replaced_in_turn) {
  constexpr work::duration kDownFor{700};
  constexpr std::size_t kRankedCandidates = 3;
  large_site_fixture fixture;
  auto& simulation = fixture.simulation;
  const std::uint32_t restarted = fixture.Leader();
  const std::size_t before = fixture.LinesOf("leadership_claimed").size();
  simulation.Kill(restarted);
  simulation.RunFor(kDownFor);
  simulation.Start(restarted);
  cr_assert(simulation.RunUntil(
      [&] { return fixture.LinesOf("leadership_won").size() == 2; },
      work::duration(1500)));
  const std::size_t claims =
      fixture.LinesOf("leadership_claimed").size() - before;
  cr_assert_leq(claims, kRankedCandidates, "%zu claims", claims);
}

// Guards against one leader after another, down to the smallest entry, when all
// entries restart.
Test(leader, elected_after_all_entries_restarted_is_not_replaced_again) {
  large_site_fixture fixture;
  auto& simulation = fixture.simulation;
  const std::size_t before = fixture.LinesOf("leadership_won").size();
  for (std::uint32_t i = 0; i < kEntries; ++i)
    simulation.Kill(i);
  simulation.RunFor(work::duration(500));
  for (std::uint32_t i = 0; i < kEntries; ++i)
    simulation.Start(i);
  simulation.RunFor(work::duration(6000));
  cr_assert_eq(fixture.LinesOf("leadership_won").size(), before + 1);
}
