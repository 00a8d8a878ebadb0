// Capacity that is kept for a unit that smaller units would pass.

#include "placement/held_room.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>

namespace placement = parsleyhitch::placement;
namespace work = parsleyhitch::work;

namespace {

const work::service_id kService("pool");

work::resources Accelerators(std::int64_t count) {
  return {.cpu_millis = 1000 * count, .accelerators = count};
}

using held = std::vector<std::pair<std::string, std::int64_t>>;

// Two racks of two workers with eight accelerators each, of which these are
// free.
struct held_fixture {
  std::vector<placement::worker_capacity> slots;

  explicit held_fixture(const std::vector<std::int64_t>& free) {
    const std::vector<std::string> names{"a1", "a2", "b1", "b2"};
    for (std::size_t i = 0; i < names.size(); ++i) {
      slots.push_back({.worker = work::worker_id(names[i]),
                       .service = kService,
                       .rack = work::rack_id(names[i].substr(0, 1)),
                       .free = Accelerators(free[i])});
    }
  }

  held Find(const placement::demand& wanted) const {
    held found;
    for (const auto& each : placement::FindHeldRoom(
             placement::capacity_map(slots), wanted,
             [](const work::worker_id&) { return Accelerators(8); }))
      found.emplace_back(each.worker.value(), each.amount.accelerators);
    return found;
  }
};

placement::demand Gang(std::uint32_t members, std::int64_t accelerators) {
  return {.service = kService,
          .members = members,
          .need = Accelerators(accelerators),
          .same_rack = true};
}

}  // namespace

Test(held_room, of_a_gang_is_in_the_rack_where_most_of_it_fits) {
  const held_fixture fixture({4, 0, 4, 4});
  cr_assert(fixture.Find(Gang(4, 4)) == (held{{"b1", 4}, {"b2", 4}}));
}

// Guards against a task that never gets the whole of a worker, as small ones
// take each part of it that becomes free.
Test(held_room, of_a_task_that_fits_nowhere_is_where_it_lacks_the_least) {
  const held_fixture fixture({2, 5, 3, 1});
  cr_assert(fixture.Find(
                {.service = kService, .members = 1, .need = Accelerators(8)}) ==
            (held{{"a2", 5}}));
}

// Guards against capacity that is kept beyond the need and stays idle.
Test(held_room, is_never_more_than_the_unit_needs) {
  const held_fixture fixture({8, 8, 6, 6});
  cr_assert(fixture.Find(
                {.service = kService, .members = 3, .need = Accelerators(3)}) ==
            (held{{"a1", 3}, {"a1", 3}, {"a2", 3}}));
}

// Guards against capacity that is kept for a unit that can never be placed.
Test(held_room, of_a_gang_that_is_too_large_for_any_rack_is_none) {
  const held_fixture fixture({4, 4, 4, 4});
  cr_assert(fixture.Find(Gang(5, 4)).empty());
}

Test(held_room, of_a_unit_whose_label_no_worker_has_is_none) {
  const held_fixture fixture({4, 4, 4, 4});
  placement::demand wanted = Gang(1, 8);
  wanted.required_label = "large";
  cr_assert(fixture.Find(wanted).empty());
}

// Guards against a second reservation of capacity that a preemption has taken
// in advance.
Test(held_room, leaves_out_workers_that_are_overcommitted) {
  const held_fixture fixture({-2, 3, -4, -4});
  cr_assert(fixture.Find(
                {.service = kService, .members = 2, .need = Accelerators(8)}) ==
            (held{{"a2", 3}}));
}
