// The queue of changes that are still to be stored.

#include "dispatch/change_queue.h"

#include <criterion/criterion.h>

#include <string>

namespace dispatch = parsleyhitch::dispatch;

namespace {

struct change_queue_fixture {
  dispatch::change_queue<std::string> queue;

  std::string TakeKey() { return queue.TakeOldest().second; }
};

}  // namespace

Test(change_queue, with_several_keys_gives_the_oldest_change_first) {
  change_queue_fixture fixture;
  fixture.queue.Add("b", 1);
  fixture.queue.Add("a", 2);
  fixture.queue.Add("b", 3);
  cr_assert_eq(fixture.queue.size(), 2U);
  cr_assert_eq(fixture.TakeKey(), "b");
  cr_assert_eq(fixture.TakeKey(), "a");
  cr_assert(fixture.queue.empty());
}

Test(change_queue, with_a_key_returned_after_a_newer_change_keeps_the_older) {
  change_queue_fixture fixture;
  fixture.queue.Add("a", 5);
  fixture.queue.Add("b", 3);
  fixture.queue.Add("a", 2);
  cr_assert_eq(*fixture.queue.OldestChange(), 2U);
  cr_assert_eq(fixture.TakeKey(), "a");
  cr_assert_eq(fixture.TakeKey(), "b");
}
