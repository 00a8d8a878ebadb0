// Room that running units leave for an urgent gang that waits instead of
// having others stopped.

#include "placement/expected_room.h"

#include <criterion/criterion.h>

namespace placement = parsleyhitch::placement;
namespace work = parsleyhitch::work;

namespace {

const work::service_id kService("pool");
constexpr work::duration kStop{200};
constexpr work::duration kLongest{1000};

work::resources Accelerators(std::int64_t count) {
  return {.cpu_millis = 1000 * count, .accelerators = count};
}

// Two racks of two full workers each.
struct expected_room_fixture {
  placement::capacity_map capacity{
      {Worker("a1"), Worker("a2"), Worker("b1"), Worker("b2")}};
  std::vector<placement::ending_unit> ending;
  placement::demand wanted{.service = kService,
                           .members = 2,
                           .need = Accelerators(4)};

  static placement::worker_capacity Worker(const std::string& name) {
    return {.worker = work::worker_id(name),
            .service = kService,
            .rack = work::rack_id(name.substr(0, 1))};
  }

  void Ends(const char* worker, std::int64_t accelerators, std::int64_t in) {
    ending.push_back({.unit = {.job = work::job_id(worker)},
                      .workers = {work::worker_id(worker)},
                      .need = Accelerators(accelerators),
                      .ends_in = work::duration(in)});
  }

  std::optional<placement::expected_room> Find() const {
    return placement::FindExpectedRoom(
        capacity, wanted, placement::ending_units(capacity, ending), kStop,
        kLongest);
  }

  std::int64_t Wait() const {
    const auto room = Find();
    cr_assert(room.has_value());
    return room->wait.count();
  }
};

}  // namespace

Test(expected_room, for_a_gang_is_there_when_the_last_member_fits) {
  expected_room_fixture fixture;
  fixture.Ends("a1", 4, 300);
  fixture.Ends("b1", 4, 700);
  fixture.Ends("b2", 8, 900);
  cr_assert_eq(fixture.Wait(), 700);
}

Test(expected_room, that_comes_too_late_is_not_found) {
  expected_room_fixture fixture;
  fixture.Ends("a1", 4, 300);
  fixture.Ends("b1", 4, 1001);
  cr_assert_not(fixture.Find().has_value());
}

Test(expected_room, counts_what_is_being_stopped) {
  expected_room_fixture fixture;
  fixture.Ends("a1", 4, 100);
  fixture.capacity.AddLeaving(work::worker_id("b1"), Accelerators(4));
  cr_assert_eq(fixture.Wait(), kStop.count());
}

Test(expected_room, that_units_leave_together_counts_as_one) {
  expected_room_fixture fixture;
  for (const std::int64_t in : {400, 100})
    fixture.Ends("a1", 2, in);
  fixture.Ends("a2", 4, 200);
  cr_assert_eq(fixture.Wait(), 400);
}

// Guards against one release that is promised to two waiting units.
Test(expected_room, that_is_taken_is_not_found_again) {
  expected_room_fixture fixture;
  fixture.Ends("a1", 4, 100);
  fixture.Ends("a2", 4, 100);
  const auto first = fixture.Find();
  cr_assert(first.has_value());
  for (const work::worker_id& worker : first->workers)
    fixture.capacity.Take(worker, fixture.wanted.need);
  cr_assert_not(fixture.Find().has_value());
}

// Guards against a unit that counts twice: as one that ends, and as stopped.
Test(expected_room, of_a_unit_that_is_being_stopped_counts_once) {
  expected_room_fixture fixture;
  fixture.Ends("a1", 4, 100);
  fixture.wanted.members = 2;
  placement::ending_units ending(fixture.capacity, fixture.ending);
  ending.MarkStopped(fixture.ending.front().unit);
  fixture.capacity.AddLeaving(work::worker_id("a1"), Accelerators(4));
  cr_assert_not(placement::FindExpectedRoom(fixture.capacity, fixture.wanted,
                                            ending, kStop, kLongest)
                    .has_value());
}

Test(expected_room, for_a_same_rack_gang_is_on_one_rack) {
  expected_room_fixture fixture;
  fixture.wanted.same_rack = true;
  fixture.Ends("a1", 4, 100);
  fixture.Ends("b1", 4, 100);
  fixture.Ends("b2", 4, 600);
  cr_assert_eq(fixture.Wait(), 600);
}
