// Tests of rendezvous hashing.

#include "scheduler/rendezvous.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

namespace model = parsleyhitch::model;
namespace scheduler = parsleyhitch::scheduler;

namespace {

constexpr int kSubjects = 4000;

struct rendezvous_fixture {
  scheduler::hooks hooks = scheduler::DefaultHooks();
  std::vector<model::entry_id> entries{
      model::entry_id("a"), model::entry_id("b"), model::entry_id("c"),
      model::entry_id("d")};

  model::entry_id Responsible(int subject) const {
    return scheduler::ResponsibleEntry(
        hooks, "worker-" + std::to_string(subject), entries);
  }
};

}  // namespace

Test(rendezvous, subjects_with_four_entries_spread_evenly) {
  const rendezvous_fixture fixture;
  std::map<model::entry_id, int> counts;
  for (int i = 0; i < kSubjects; ++i)
    ++counts[fixture.Responsible(i)];
  for (const auto& [entry, count] : counts) {
    cr_assert_gt(count, kSubjects / 4 * 85 / 100);
    cr_assert_lt(count, kSubjects / 4 * 115 / 100);
  }
}

Test(rendezvous, entry_removed_moves_only_its_own_subjects) {
  const rendezvous_fixture before;
  rendezvous_fixture after;
  after.entries.pop_back();
  for (int i = 0; i < kSubjects; ++i) {
    if (before.Responsible(i) != model::entry_id("d"))
      cr_assert(before.Responsible(i) == after.Responsible(i));
  }
}

Test(rendezvous, no_entries_gives_no_responsible_entry) {
  rendezvous_fixture fixture;
  fixture.entries.clear();
  cr_assert(fixture.Responsible(1).empty());
}
