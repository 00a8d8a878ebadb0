// The choice of victims where lower work fills a service and urgent gangs
// arrive.

#include "placement/preempt.h"

#include <criterion/criterion.h>

namespace placement = parsleyhitch::placement;
namespace work = parsleyhitch::work;

namespace {

const work::service_id kService("pool");

work::resources Accelerators(std::int64_t count) {
  return {.cpu_millis = 1000 * count, .accelerators = count};
}

// One rack of two full workers with eight accelerators each.
struct full_rack_fixture {
  placement::capacity_map capacity{{Worker("a1"), Worker("a2")}};
  std::vector<placement::victim> victims;

  static placement::worker_capacity Worker(const char* name) {
    return {.worker = work::worker_id(name),
            .service = kService,
            .rack = work::rack_id("a")};
  }

  void Run(const char* job,
           const std::vector<std::string>& workers,
           std::int64_t accelerators,
           std::uint64_t cost) {
    placement::victim added{.unit = {.job = work::job_id(job)},
                            .need = Accelerators(accelerators),
                            .cost = cost};
    for (const std::string& worker : workers)
      added.workers.emplace_back(worker);
    victims.push_back(std::move(added));
  }

  // The indexes of the victims that are stopped for a gang.
  std::vector<std::uint32_t> StoppedFor(std::uint32_t members,
                                        std::int64_t accelerators) const {
    const auto chosen =
        placement::FindVictims(capacity,
                               {.service = kService,
                                .members = members,
                                .need = Accelerators(accelerators)},
                               placement::victim_set(capacity, victims));
    cr_assert(chosen.has_value());
    return chosen->stopped;
  }
};

using indexes = std::vector<std::uint32_t>;

}  // namespace

// Guards against many small units that are stopped where the stop of a larger
// one costs less.
Test(victims, of_which_one_large_one_costs_less_than_many_are_few) {
  full_rack_fixture fixture;
  for (int i = 0; i < 4; ++i)
    fixture.Run("small", {"a1"}, 1, 3);
  fixture.Run("large", {"a1"}, 4, 10);
  cr_assert(fixture.StoppedFor(1, 4) == indexes{4});
}

Test(victims, of_which_many_cost_less_than_one_large_one_are_many) {
  full_rack_fixture fixture;
  for (int i = 0; i < 2; ++i)
    fixture.Run("small", {"a1"}, 2, 3);
  fixture.Run("large", {"a1"}, 4, 10);
  cr_assert(fixture.StoppedFor(1, 4) == (indexes{0, 1}));
}

// Guards against a search that judges a gang by the first member of the demand
// and stops single tasks for each member instead.
Test(victims, for_a_gang_are_one_gang_where_it_costs_less_than_single_tasks) {
  full_rack_fixture fixture;
  fixture.Run("single", {"a1"}, 4, 8);
  fixture.Run("single", {"a2"}, 4, 8);
  fixture.Run("gang", {"a1", "a2"}, 4, 10);
  cr_assert(fixture.StoppedFor(2, 4) == indexes{2});
}

Test(victims, for_a_gang_are_single_tasks_where_a_gang_costs_more) {
  full_rack_fixture fixture;
  fixture.Run("single", {"a1"}, 4, 4);
  fixture.Run("single", {"a2"}, 4, 4);
  fixture.Run("gang", {"a1", "a2"}, 4, 10);
  cr_assert(fixture.StoppedFor(2, 4) == (indexes{0, 1}));
}
