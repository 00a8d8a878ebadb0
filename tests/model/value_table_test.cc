// Tests of value_table: lookup, replacement and comparison.

#include "model/value_table.h"

#include <criterion/criterion.h>

#include <string>

namespace {

struct item {
  const std::string text;
  bool operator==(const item&) const = default;
};

struct table_fixture {
  parsleyhitch::model::value_table<int, item> table;

  table_fixture() {
    table.Put(1, {.text = "one"});
    table.Put(2, {.text = "two"});
  }
};

}  // namespace

Test(value_table, find_with_absent_key_returns_null) {
  const table_fixture fixture;
  cr_assert_null(fixture.table.Find(3));
}

Test(value_table, put_with_present_key_replaces_the_whole_value) {
  table_fixture fixture;
  fixture.table.Put(1, {.text = "uno"});
  cr_assert_eq(fixture.table.Find(1)->text, "uno");
  cr_assert_eq(fixture.table.size(), 2);
}

Test(value_table, put_with_a_reference_to_the_stored_key_keeps_the_key) {
  table_fixture fixture;
  const int& key = fixture.table.begin()->first;
  fixture.table.Put(key, {.text = "again"});
  cr_assert_eq(fixture.table.Find(1)->text, "again");
}

Test(value_table, comparison_of_tables_with_equal_items_is_equal) {
  const table_fixture left;
  const table_fixture right;
  cr_assert(left.table == right.table);
}
