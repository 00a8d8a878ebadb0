// Placement of units, and the choice of units to preempt.

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
struct capacity_fixture {
  placement::capacity_map capacity;

  explicit capacity_fixture(
      const placement::worker_capacity& prototype = {.free = Accelerators(8)})
      : capacity(Slots(prototype)) {}

  static std::vector<placement::worker_capacity> Slots(
      const placement::worker_capacity& prototype) {
    std::vector<placement::worker_capacity> slots;
    for (const char* name : {"a1", "a2", "b1", "b2"}) {
      placement::worker_capacity each = prototype;
      each.worker = work::worker_id(name);
      each.service = kService;
      each.rack = work::rack_id(std::string(1, name[0]));
      each.labels = {name};
      slots.push_back(each);
    }
    return slots;
  }

  void Use(const char* worker, std::int64_t accelerators) {
    capacity.Take(work::worker_id(worker), Accelerators(accelerators));
  }

  placement::demand Demand(std::uint32_t members,
                           std::int64_t accelerators) const {
    return {.service = kService,
            .members = members,
            .need = Accelerators(accelerators)};
  }

  std::vector<std::string> Find(const placement::demand& wanted) const {
    std::vector<std::string> names;
    const auto found = placement::FindPlacement(capacity, wanted);
    if (!found)
      return names;
    for (const work::worker_id& worker : *found)
      names.push_back(worker.value());
    return names;
  }

  std::optional<placement::preemption> Preempt(
      const placement::demand& wanted,
      const std::vector<placement::victim>& victims) const {
    return placement::FindVictims(capacity, wanted,
                                  placement::victim_set(capacity, victims));
  }
};

using worker_names = std::vector<std::string>;

}  // namespace

Test(placement, of_a_small_task_uses_the_worker_with_the_least_free_capacity) {
  capacity_fixture fixture;
  fixture.Use("b1", 6);
  cr_assert(fixture.Find(fixture.Demand(1, 2)) == worker_names{"b1"});
}

Test(placement, of_a_same_rack_gang_spans_racks_only_when_remote_is_accepted) {
  capacity_fixture fixture;
  fixture.Use("a1", 1);
  fixture.Use("b1", 1);
  placement::demand wanted = fixture.Demand(2, 8);
  wanted.same_rack = true;
  cr_assert(fixture.Find(wanted).empty());
  wanted.accepts_remote = true;
  cr_assert(fixture.Find(wanted) == (worker_names{"a2", "b2"}));
}

Test(placement, off_the_data_rack_is_found_only_when_remote_is_accepted) {
  capacity_fixture fixture;
  fixture.Use("a1", 8);
  fixture.Use("a2", 8);
  placement::demand wanted = fixture.Demand(1, 4);
  wanted.data_rack = work::rack_id("a");
  cr_assert(fixture.Find(wanted).empty());
  wanted.accepts_remote = true;
  cr_assert_eq(fixture.Find(wanted).size(), 1U);
}

Test(placement, with_a_required_label_uses_only_workers_that_have_it) {
  capacity_fixture fixture;
  placement::demand wanted = fixture.Demand(1, 1);
  wanted.required_label = "b2";
  cr_assert(fixture.Find(wanted) == worker_names{"b2"});
}

Test(placement, with_a_bound_of_tasks_per_worker_is_spread) {
  capacity_fixture fixture;
  placement::demand wanted = fixture.Demand(3, 1);
  wanted.max_per_worker = 1;
  wanted.same_step_tasks[work::worker_id("a1")] = 1;
  cr_assert(fixture.Find(wanted) == (worker_names{"a2", "b1", "b2"}));
}

Test(placement, on_shunned_workers_is_found_only_when_they_are_accepted) {
  const capacity_fixture fixture({.free = Accelerators(8), .shunned = true});
  placement::demand wanted = fixture.Demand(1, 1);
  cr_assert(fixture.Find(wanted).empty());
  wanted.accepts_shunned = true;
  cr_assert_eq(fixture.Find(wanted).size(), 1U);
}

Test(placement, of_a_unit_that_is_to_be_alone_uses_only_idle_workers) {
  capacity_fixture fixture;
  for (const char* worker : {"a1", "a2", "b1"})
    fixture.Use(worker, 1);
  placement::demand wanted = fixture.Demand(1, 1);
  wanted.alone = true;
  cr_assert(fixture.Find(wanted) == std::vector<std::string>{"b2"});
  fixture.capacity.TakeAll(work::worker_id("b2"));
  cr_assert(fixture.Find(wanted).empty());
}

Test(victims, that_cost_least_are_stopped) {
  capacity_fixture fixture;
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
  const auto chosen = fixture.Preempt(fixture.Demand(1, 8), victims);
  cr_assert(chosen.has_value());
  cr_assert_eq(chosen->stopped.size(), 1U);
  cr_assert_eq(victims[chosen->stopped.front()].unit.job.value(), "b2");
}

Test(victims, are_not_needed_where_enough_capacity_is_being_freed) {
  const capacity_fixture fixture({.leaving = Accelerators(8)});
  const auto chosen = fixture.Preempt(fixture.Demand(2, 8), {});
  cr_assert(chosen.has_value());
  cr_assert(chosen->stopped.empty());
  cr_assert_eq(chosen->workers.size(), 2U);
}

Test(victims, that_free_too_little_are_not_stopped) {
  capacity_fixture fixture;
  fixture.Use("a1", 8);
  const std::vector<placement::victim> victims{
      {.unit = {.job = work::job_id("x")},
       .workers = {work::worker_id("a1")},
       .need = Accelerators(4)}};
  const auto chosen = fixture.Preempt(fixture.Demand(5, 8), victims);
  cr_assert_not(chosen.has_value());
}

Test(victims, of_a_gang_free_capacity_on_each_of_their_workers) {
  capacity_fixture fixture;
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
  const auto chosen = fixture.Preempt(fixture.Demand(2, 8), victims);
  cr_assert(chosen.has_value());
  cr_assert_eq(chosen->workers.size(), 2U);
  cr_assert(std::ranges::find(chosen->stopped, 0U) != chosen->stopped.end());
}

Test(victims, that_are_already_stopped_are_not_chosen_again) {
  capacity_fixture fixture;
  for (const char* name : {"a1", "a2", "b1", "b2"})
    fixture.Use(name, 8);
  placement::victim_set victims(fixture.capacity,
                                {{.unit = {.job = work::job_id("x")},
                                  .workers = {work::worker_id("a1")},
                                  .need = Accelerators(8),
                                  .cost = 1}});
  const placement::demand wanted = fixture.Demand(1, 8);
  cr_assert(
      placement::FindVictims(fixture.capacity, wanted, victims).has_value());
  victims.MarkStopped(0);
  cr_assert_not(
      placement::FindVictims(fixture.capacity, wanted, victims).has_value());
}

Test(victims, that_a_more_expensive_one_makes_redundant_keep_running) {
  capacity_fixture fixture;
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
  const auto chosen = fixture.Preempt(fixture.Demand(1, 7), victims);
  cr_assert(chosen.has_value());
  cr_assert(chosen->stopped == std::vector<std::uint32_t>{1});
}

// Guards against tasks that are put beside others that slow them down while
// other workers have room.
Test(placement,
     with_interference_prefers_workers_where_tasks_run_in_less_time) {
  capacity_fixture fixture;
  fixture.Use("a1", 4);
  const auto slow_on_a1 = [](const placement::demand&,
                             const placement::worker_capacity& slot) {
    return slot.worker == work::worker_id("a1") ? 1500U : 1000U;
  };
  const auto found =
      placement::FindPlacement(fixture.capacity, fixture.Demand(2, 8),
                               placement::UsualRunTime, slow_on_a1);
  cr_assert(found.has_value());
  const auto one =
      placement::FindPlacement(fixture.capacity, fixture.Demand(1, 2),
                               placement::UsualRunTime, slow_on_a1);
  cr_assert_eq(one->front().value(), "a2");
}

Test(placement, with_interference_that_differ_little_prefers_the_tightest_fit) {
  capacity_fixture fixture;
  fixture.Use("b1", 4);
  const auto little_slower_on_b1 = [](const placement::demand&,
                                      const placement::worker_capacity& slot) {
    return slot.worker == work::worker_id("b1") ? 1090U : 1010U;
  };
  const auto found =
      placement::FindPlacement(fixture.capacity, fixture.Demand(1, 2),
                               placement::UsualRunTime, little_slower_on_b1);
  cr_assert_eq(found->front().value(), "b1");
}

// Guards against units that wait, or leave their data, because of interference.
Test(placement, with_interference_uses_a_slow_worker_if_no_other_has_room) {
  capacity_fixture fixture;
  for (const char* worker : {"a2", "b1", "b2"})
    fixture.Use(worker, 8);
  const auto found = placement::FindPlacement(
      fixture.capacity, fixture.Demand(1, 2), placement::UsualRunTime,
      [](const placement::demand&, const placement::worker_capacity&) {
        return 5000U;
      });
  cr_assert_eq(found->front().value(), "a1");
}

Test(placement, with_interference_stays_on_the_rack_of_the_data) {
  capacity_fixture fixture;
  placement::demand wanted = fixture.Demand(1, 2);
  wanted.data_rack = work::rack_id("a");
  wanted.accepts_remote = true;
  const auto found = placement::FindPlacement(
      fixture.capacity, wanted, placement::UsualRunTime,
      [](const placement::demand&, const placement::worker_capacity& slot) {
        return slot.rack == work::rack_id("a") ? 3000U : 1000U;
      });
  cr_assert_eq(found->front().value(), "a1");
}
