// Workspaces that compete for a service without room for all of their work.

#include "policy/fair_share.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

namespace policy = parsleyhitch::policy;
namespace work = parsleyhitch::work;
using policy::duration;

namespace {

constexpr std::uint32_t kGuaranteed = policy::kGuaranteedRank;
constexpr std::uint32_t kUrgent = 1;
constexpr std::uint32_t kBackground = 3;

work::resources Accelerators(std::int64_t count) {
  return {.cpu_millis = count * 1000, .accelerators = count};
}

// A service of 100 accelerators. Each claim is named by a letter, that of its
// workspace.
struct share_fixture {
  share_fixture() { state.capacity[work::service_id("pool")] = kCapacity; }

  static policy::share_account Account(char owner,
                                       const std::string& service = "pool") {
    return {.service = work::service_id(service),
            .owner = work::workspace_id(std::string(1, owner))};
  }

  void Hold(char owner, std::int64_t count, std::uint32_t rank = kUrgent) {
    state.held[rank][Account(owner)] = Accelerators(count);
  }

  void Wait(const std::string& owners,
            std::int64_t count = 1,
            std::uint32_t rank = kUrgent) {
    for (const char owner : owners) {
      claims.push_back({.rank = rank,
                        .account = Account(owner),
                        .need = Accelerators(count)});
    }
  }

  std::string Order() const {
    std::string names;
    for (const std::size_t index : policy::FairOrder(claims, state))
      names += claims[index].account.owner.value();
    return names;
  }

  static constexpr work::resources kCapacity{.cpu_millis = 400000,
                                             .memory_mb = 0,
                                             .accelerators = 100};
  policy::share_state state;
  std::vector<policy::share_claim> claims;
};

void ExpectOrder(const share_fixture& fixture, const std::string& expected) {
  const std::string order = fixture.Order();
  cr_assert_eq(order, expected, "%s instead of %s", order.c_str(),
               expected.c_str());
}

}  // namespace

// Guards against a workspace that waits behind all that another one submitted
// before.
Test(fair_order, of_a_flood_and_a_few_claims_alternates) {
  share_fixture fixture;
  fixture.Wait("aaaaabb");
  ExpectOrder(fixture, "ababaaa");
}

Test(fair_order, counts_what_each_workspace_holds) {
  share_fixture fixture;
  fixture.Hold('a', 3);
  fixture.Wait("aaabbbb");
  ExpectOrder(fixture, "bbbabaa");
}

// Guards against large workspaces that get no more than small ones although
// they were sold more.
Test(fair_order, gives_parts_in_proportion_to_the_weights) {
  share_fixture fixture;
  fixture.state.weights = {{work::workspace_id("a"), 3.0}};
  fixture.Wait("aaaaaabb");
  ExpectOrder(fixture, "abaaabaa");
}

// Guards against urgent jobs that are late because newer ones of workspaces
// with a little less go before them.
Test(fair_order, in_whole_parts_is_that_of_submission_below_a_part) {
  share_fixture fixture;
  fixture.state.step = 1.0;
  fixture.Hold('a', 20);
  fixture.Wait("aaabbb");
  ExpectOrder(fixture, "aaabbb");
}

// Guards against a flood that takes more than its part while others wait.
Test(fair_order, in_whole_parts_serves_others_before_a_flood) {
  share_fixture fixture;
  fixture.state.step = 1.0;
  fixture.Hold('a', 48);
  fixture.Wait("aaaabb");
  ExpectOrder(fixture, "aabbaa");
}

Test(weights, of_workspaces_follow_their_guarantees_down_to_a_quarter) {
  const auto weights = policy::WeightsOf({{work::workspace_id("a"), 90},
                                          {work::workspace_id("b"), 30},
                                          {work::workspace_id("c"), 0}});
  cr_assert_float_eq(weights.at(work::workspace_id("a")), 2.25, 1e-9);
  cr_assert_float_eq(weights.at(work::workspace_id("b")), 0.75, 1e-9);
  cr_assert_float_eq(weights.at(work::workspace_id("c")), 0.25, 1e-9);
}

Test(weights, of_workspaces_without_any_guarantee_are_equal) {
  cr_assert(policy::WeightsOf(
                {{work::workspace_id("a"), 0}, {work::workspace_id("b"), 0}})
                .empty());
}

// Guards against a workspace that gets more than others by larger claims.
Test(fair_order, counts_amounts_rather_than_claims) {
  share_fixture fixture;
  fixture.Wait("aa", 3);
  fixture.Wait("bbbb", 1);
  ExpectOrder(fixture, "abbbab");
}

// Guards against shares by one resource while another one is short.
Test(fair_order, follows_the_resource_of_which_each_workspace_has_most) {
  share_fixture fixture;
  fixture.state.held[kUrgent][share_fixture::Account('a')] = {
      .cpu_millis = 200000, .accelerators = 1};
  fixture.state.held[kUrgent][share_fixture::Account('b')] = {
      .cpu_millis = 10000, .accelerators = 20};
  fixture.Wait("ab");
  ExpectOrder(fixture, "ba");
}

Test(fair_order, within_a_workspace_is_that_of_submission) {
  share_fixture fixture;
  fixture.Wait("a", 9);
  fixture.Wait("aa", 1);
  cr_assert_eq(policy::FairOrder(fixture.claims, fixture.state),
               (std::vector<std::size_t>{0, 1, 2}));
}

Test(fair_order, of_a_rank_comes_before_that_of_the_next) {
  share_fixture fixture;
  fixture.Hold('a', 50);
  fixture.Wait("aa", 1, kUrgent);
  fixture.Wait("bb", 1, kBackground);
  ExpectOrder(fixture, "aabb");
}

// Guards against a guarantee that is put off because its workspace has much, or
// that makes its workspace's other work wait.
Test(fair_order, of_guaranteed_claims_is_that_of_submission) {
  share_fixture fixture;
  fixture.Hold('a', 50);
  fixture.Wait("aab", 1, kGuaranteed);
  ExpectOrder(fixture, "aab");
}

Test(fair_order, does_not_count_what_is_held_within_a_guarantee) {
  share_fixture fixture;
  fixture.Hold('a', 50, kGuaranteed);
  fixture.Wait("aabb");
  ExpectOrder(fixture, "abab");
}

// Guards against urgent work that waits because its workspace had used capacity
// that nobody else wanted for work of a lower rank.
Test(fair_order, does_not_count_what_lower_ranks_hold) {
  share_fixture fixture;
  fixture.Hold('a', 50, kBackground);
  fixture.Wait("aabb", 1, kUrgent);
  fixture.Wait("aabb", 1, kBackground);
  ExpectOrder(fixture, "ababbbaa");
}

Test(fair_order, of_a_service_with_room_for_all_is_that_of_submission) {
  share_fixture fixture;
  fixture.state.capacity.clear();
  fixture.Hold('a', 50);
  fixture.Wait("aaabbb");
  ExpectOrder(fixture, "aaabbb");
}

// Guards against work that waits because its workspace has much of a service
// for which the work does not compete.
Test(fair_order, counts_each_service_by_itself) {
  share_fixture fixture;
  fixture.Hold('a', 50);
  const work::service_id other("other");
  fixture.state.capacity[other] = share_fixture::kCapacity;
  for (const char owner : std::string("aabb")) {
    fixture.claims.push_back({.rank = kUrgent,
                              .account = share_fixture::Account(owner, "other"),
                              .need = Accelerators(1)});
  }
  ExpectOrder(fixture, "abab");
}

// Guards against a large unit that smaller ones of other workspaces pass until
// its objective is lost.
Test(fair_order, of_an_overdue_claim_is_first_in_its_rank) {
  share_fixture fixture;
  fixture.Hold('a', 10);
  fixture.Wait("bb");
  fixture.Wait("a", 30);
  fixture.claims.back().overdue = true;
  ExpectOrder(fixture, "abb");
}

// Guards against a flood whose many overdue units keep others from starting.
Test(fair_order, of_an_overdue_claim_beyond_an_equal_part_is_by_its_share) {
  share_fixture fixture;
  fixture.Hold('a', 60);
  fixture.Wait("aabb");
  fixture.claims[0].overdue = true;
  fixture.claims[1].overdue = true;
  ExpectOrder(fixture, "bbaa");
}

Test(fair_order, lets_one_overdue_claim_of_a_service_go_first) {
  share_fixture fixture;
  fixture.Hold('a', 10);
  fixture.Wait("aabb");
  fixture.claims[0].overdue = true;
  fixture.claims[1].overdue = true;
  ExpectOrder(fixture, "abba");
}

Test(fair_order, serves_each_claim_once) {
  share_fixture fixture;
  fixture.Wait("abcabcaabbcc", 1, kGuaranteed);
  fixture.Wait("cccbbbaaaa", 2, kUrgent);
  fixture.Wait("abcabc", 3, kBackground);
  fixture.claims[14].overdue = true;
  std::vector<std::size_t> order =
      policy::FairOrder(fixture.claims, fixture.state);
  std::ranges::sort(order);
  cr_assert_eq(order.size(), fixture.claims.size());
  for (std::size_t i = 0; i < order.size(); ++i)
    cr_assert_eq(order[i], i);
}

Test(overdue, begins_with_the_last_quarter_of_the_slack) {
  constexpr duration kSlack{4000};
  cr_assert_not(policy::IsOverdue(duration(2999), kSlack, duration(500)));
  cr_assert(policy::IsOverdue(duration(3000), kSlack, duration(500)));
  cr_assert(policy::IsOverdue(duration(3999), kSlack, duration(500)));
  cr_assert_not(policy::IsOverdue(duration(4000), kSlack, duration(500)));
}

// Guards against room that is given up before what runs there can have ended.
Test(overdue, holds_for_the_run_time_at_least) {
  constexpr duration kSlack{4000};
  cr_assert(policy::IsOverdue(duration(9999), kSlack, duration(7000)));
  cr_assert_not(policy::IsOverdue(duration(10000), kSlack, duration(7000)));
}

// Guards against capacity that stays idle for a unit that never fits, and
// against intervals that always are too short for one that does.
Test(overdue, pauses_as_long_as_it_held_and_then_holds_twice_as_long) {
  constexpr duration kSlack{4000};
  for (std::int64_t waited = 1; waited < 33000; ++waited) {
    cr_assert_eq(policy::IsOverdue(duration(waited), kSlack, duration(0)),
                 (waited >= 3000 && waited < 4000) ||
                     (waited >= 5000 && waited < 7000) ||
                     (waited >= 9000 && waited < 13000) ||
                     (waited >= 17000 && waited < 25000));
  }
}

Test(overdue, without_slack_begins_after_a_while) {
  cr_assert_not(policy::IsOverdue(duration(0), duration(0), duration(0)));
  cr_assert_not(policy::IsOverdue(duration(700), duration(0), duration(0)));
  cr_assert(policy::IsOverdue(duration(800), duration(0), duration(0)));
}

Test(order, passes_earlier_claims_where_one_comes_later) {
  cr_assert_eq(policy::PassesEarlier({0, 3, 1, 2, 4}),
               (std::vector<bool>{false, true, false, false, false}));
}
