// Placement by run time on workers of different speed.

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "placement/room.h"

namespace placement = parsleyhitch::placement;
namespace work = parsleyhitch::work;

namespace {

const work::service_id kService("pool");

work::resources Accelerators(std::int64_t count) {
  return {.cpu_millis = 1000 * count, .accelerators = count};
}

using worker_names = std::vector<std::string>;

// Two racks of three workers with eight accelerators each, and a run time for
// each worker.
struct uneven_fixture {
  std::vector<placement::worker_capacity> slots;

  explicit uneven_fixture(const std::vector<std::uint32_t>& run_times) {
    for (std::uint32_t i = 0; i < 6; ++i) {
      const std::string rack = i < 3 ? "a" : "b";
      slots.push_back({.worker = work::worker_id(rack + std::to_string(i % 3)),
                       .service = kService,
                       .rack = work::rack_id(rack),
                       .free = Accelerators(8),
                       .run_time_permille = run_times[i]});
    }
  }

  static placement::demand Demand(std::uint32_t members,
                                  std::int64_t accelerators,
                                  bool finish_first) {
    return {.service = kService,
            .members = members,
            .need = Accelerators(accelerators),
            .finish_first = finish_first};
  }

  worker_names Find(const placement::demand& wanted) const {
    worker_names names;
    const auto found = placement::FindPlacement(
        placement::capacity_map(slots), wanted,
        [](const placement::demand&, const placement::worker_capacity& slot) {
          return slot.run_time_permille;
        });
    for (const work::worker_id& worker :
         found.value_or(std::vector<work::worker_id>()))
      names.push_back(worker.value());
    return names;
  }
};

}  // namespace

// Load: workers with speeds of 1.0 and 1.3.
Test(placement, of_a_unit_that_is_to_finish_first_uses_the_fastest_worker) {
  const uneven_fixture fixture({1000, 1000, 1000, 1000, 770, 1000});
  cr_assert(fixture.Find(uneven_fixture::Demand(1, 1, true)) ==
            worker_names{"b1"});
}

// Guards against background work that fills the fastest workers.
Test(placement, of_another_unit_leaves_the_fastest_worker_to_such_units) {
  const uneven_fixture fixture({1000, 1000, 1000, 1000, 770, 1000});
  cr_assert(fixture.Find(uneven_fixture::Demand(1, 1, false)) ==
            worker_names{"a0"});
}

// Load: workers with a speed of 0.55, of which some are left free.
Test(placement, of_any_unit_avoids_workers_that_are_much_slower) {
  uneven_fixture fixture({1800, 1800, 1000, 1800, 1800, 1800});
  fixture.slots[0].free = Accelerators(1);
  cr_assert(fixture.Find(uneven_fixture::Demand(1, 1, false)) ==
            worker_names{"a2"});
}

// Guards against packing that changes with the noise of what is learned.
Test(placement, on_nearly_equal_workers_uses_the_one_with_the_least_room) {
  uneven_fixture fixture({930, 960, 1000, 1040, 1090, 1000});
  fixture.slots[4].free = Accelerators(2);
  for (const bool finish_first : {false, true}) {
    cr_assert(fixture.Find(uneven_fixture::Demand(1, 1, finish_first)) ==
              worker_names{"b1"});
  }
}

Test(placement, of_a_gang_uses_the_rack_whose_slowest_member_is_fastest) {
  uneven_fixture fixture({770, 770, 1800, 1000, 1000, 1000});
  fixture.slots[0].free = Accelerators(4);
  placement::demand wanted = uneven_fixture::Demand(3, 4, true);
  wanted.same_rack = true;
  const worker_names found = fixture.Find(wanted);
  cr_assert_eq(found.size(), 3U);
  // The fast workers of the other rack have room for three members too.
  cr_assert(found == (worker_names{"a0", "a1", "a1"}));
  wanted.members = 5;
  cr_assert_eq(fixture.Find(wanted).front().front(), 'b');
}

Test(placement, on_a_hung_worker_is_found_only_when_it_is_accepted) {
  uneven_fixture fixture(std::vector<std::uint32_t>(6, 1000));
  for (placement::worker_capacity& each : fixture.slots)
    each.hung = true;
  placement::demand wanted = uneven_fixture::Demand(1, 1, false);
  wanted.accepts_shunned = true;
  cr_assert(fixture.Find(wanted).empty());
  wanted.accepts_hung = true;
  cr_assert_eq(fixture.Find(wanted).size(), 1U);
}
