// Where units are placed, and who is stopped for them.

#include "placement/room.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "placement/preempt.h"

namespace placement = parsleyhitch::placement;
namespace work = parsleyhitch::work;

namespace {

const work::service_id kService("pool");

work::resources Accelerators(std::int64_t count) {
  return {.cpu_millis = 1000 * count, .accelerators = count};
}

// Two racks of two workers with eight accelerators each.
struct board_fixture {
  placement::board board;

  explicit board_fixture(
      const placement::slot& like = {.free = Accelerators(8)})
      : board(Slots(like)) {}

  static std::vector<placement::slot> Slots(const placement::slot& like) {
    std::vector<placement::slot> slots;
    for (const char* name : {"a1", "a2", "b1", "b2"}) {
      placement::slot each = like;
      each.worker = work::worker_id(name);
      each.service = kService;
      each.rack = work::rack_id(std::string(1, name[0]));
      each.labels = {name};
      slots.push_back(each);
    }
    return slots;
  }

  void Use(const char* worker, std::int64_t accelerators) {
    board.Take(work::worker_id(worker), Accelerators(accelerators));
  }

  placement::demand Demand(std::uint32_t members,
                           std::int64_t accelerators) const {
    return {.service = kService,
            .members = members,
            .need = Accelerators(accelerators)};
  }

  std::vector<std::string> Find(const placement::demand& asked) const {
    std::vector<std::string> names;
    const auto found = placement::FindRoom(board, asked);
    if (!found)
      return names;
    for (const work::worker_id& worker : *found)
      names.push_back(worker.value());
    return names;
  }

  std::optional<placement::preemption> Stop(
      const placement::demand& asked,
      const std::vector<placement::victim>& victims) const {
    return placement::FindVictims(board, asked,
                                  placement::victim_set(board, victims));
  }
};

using names = std::vector<std::string>;

}  // namespace

Test(room, for_a_small_task_is_the_tightest_worker) {
  board_fixture fixture;
  fixture.Use("b1", 6);
  cr_assert(fixture.Find(fixture.Demand(1, 2)) == names{"b1"});
}

Test(room, for_a_gang_on_one_rack_is_not_spread) {
  board_fixture fixture;
  fixture.Use("a1", 1);
  fixture.Use("b1", 1);
  placement::demand asked = fixture.Demand(2, 8);
  asked.same_rack = true;
  cr_assert(fixture.Find(asked).empty());
  asked.accepts_far = true;
  cr_assert(fixture.Find(asked) == (names{"a2", "b2"}));
}

Test(room, near_the_data_is_kept_waiting_for_until_far_is_accepted) {
  board_fixture fixture;
  fixture.Use("a1", 8);
  fixture.Use("a2", 8);
  placement::demand asked = fixture.Demand(1, 4);
  asked.data_rack = work::rack_id("a");
  cr_assert(fixture.Find(asked).empty());
  asked.accepts_far = true;
  cr_assert_eq(fixture.Find(asked).size(), 1U);
}

Test(room, of_a_required_label_is_only_on_workers_that_have_it) {
  board_fixture fixture;
  placement::demand asked = fixture.Demand(1, 1);
  asked.required_label = "b2";
  cr_assert(fixture.Find(asked) == names{"b2"});
}

Test(room, with_a_bound_of_tasks_a_worker_is_spread) {
  board_fixture fixture;
  placement::demand asked = fixture.Demand(3, 1);
  asked.max_per_worker = 1;
  asked.siblings[work::worker_id("a1")] = 1;
  cr_assert(fixture.Find(asked) == (names{"a2", "b1", "b2"}));
}

Test(room, on_shunned_workers_is_found_only_where_they_are_accepted) {
  const board_fixture fixture({.free = Accelerators(8), .shunned = true});
  placement::demand asked = fixture.Demand(1, 1);
  cr_assert(fixture.Find(asked).empty());
  asked.accepts_shunned = true;
  cr_assert_eq(fixture.Find(asked).size(), 1U);
}

Test(victims, that_cost_least_are_stopped) {
  board_fixture fixture;
  std::vector<placement::victim> victims;
  std::uint64_t cost = 100;
  for (const char* name : {"a1", "a2", "b1", "b2"}) {
    fixture.Use(name, 8);
    victims.push_back({.unit = {.job = work::job_id(name)},
                       .workers = {work::worker_id(name)},
                       .need = Accelerators(8),
                       .cost = cost});
    cost -= 10;
  }
  const auto chosen = fixture.Stop(fixture.Demand(1, 8), victims);
  cr_assert(chosen.has_value());
  cr_assert_eq(chosen->stopped.size(), 1U);
  cr_assert_eq(victims[chosen->stopped.front()].unit.job.value(), "b2");
}

Test(victims, are_not_needed_where_enough_is_leaving) {
  const board_fixture fixture({.leaving = Accelerators(8)});
  const auto chosen = fixture.Stop(fixture.Demand(2, 8), {});
  cr_assert(chosen.has_value());
  cr_assert(chosen->stopped.empty());
  cr_assert_eq(chosen->workers.size(), 2U);
}

Test(victims, that_free_too_little_are_left_alone) {
  board_fixture fixture;
  fixture.Use("a1", 8);
  const std::vector<placement::victim> victims{
      {.unit = {.job = work::job_id("x")},
       .workers = {work::worker_id("a1")},
       .need = Accelerators(4)}};
  const auto chosen = fixture.Stop(fixture.Demand(5, 8), victims);
  cr_assert_not(chosen.has_value());
}

Test(victims, of_a_gang_free_room_on_each_of_their_workers) {
  board_fixture fixture;
  for (const char* name : {"a1", "a2", "b1", "b2"})
    fixture.Use(name, 8);
  const std::vector<placement::victim> victims{
      {.unit = {.job = work::job_id("gang")},
       .workers = {work::worker_id("a1"), work::worker_id("b2")},
       .need = Accelerators(8),
       .cost = 10},
      {.unit = {.job = work::job_id("single")},
       .workers = {work::worker_id("a2")},
       .need = Accelerators(8),
       .cost = 9}};
  const auto chosen = fixture.Stop(fixture.Demand(2, 8), victims);
  cr_assert(chosen.has_value());
  cr_assert_eq(chosen->workers.size(), 2U);
  cr_assert(std::ranges::find(chosen->stopped, 0U) != chosen->stopped.end());
}

Test(victims, that_were_stopped_already_are_not_counted_on_again) {
  board_fixture fixture;
  for (const char* name : {"a1", "a2", "b1", "b2"})
    fixture.Use(name, 8);
  placement::victim_set victims(fixture.board,
                                {{.unit = {.job = work::job_id("x")},
                                  .workers = {work::worker_id("a1")},
                                  .need = Accelerators(8),
                                  .cost = 1}});
  const placement::demand asked = fixture.Demand(1, 8);
  cr_assert(placement::FindVictims(fixture.board, asked, victims).has_value());
  victims.NoteStopped(0);
  cr_assert_not(
      placement::FindVictims(fixture.board, asked, victims).has_value());
}

Test(victims, that_a_dearer_one_makes_needless_go_on) {
  board_fixture fixture;
  fixture.Use("a1", 8);
  std::vector<placement::victim> victims;
  const auto add = [&](const char* name, std::int64_t held,
                       std::uint64_t cost) {
    victims.push_back({.unit = {.job = work::job_id(name)},
                       .workers = {work::worker_id("a1")},
                       .need = Accelerators(held),
                       .cost = cost});
  };
  add("small", 1, 1);
  add("large", 7, 5);
  for (const char* name : {"a2", "b1", "b2"})
    fixture.Use(name, 8);
  const auto chosen = fixture.Stop(fixture.Demand(1, 7), victims);
  cr_assert(chosen.has_value());
  cr_assert(chosen->stopped == std::vector<std::uint32_t>{1});
}
