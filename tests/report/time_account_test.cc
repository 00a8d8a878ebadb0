// Tests of the account of a process's time.

#include "report/time_account.h"

#include <criterion/criterion.h>

namespace report = parsleyhitch::report;
namespace work = parsleyhitch::work;

namespace {

struct time_account_fixture {
  report::time_account account;

  void Spend(const std::string& part, std::chrono::nanoseconds spent) {
    account = report::Add(std::move(account), part, spent);
  }
};

}  // namespace

Test(time_account, of_two_parts_sums_up_each_and_all) {
  time_account_fixture fixture;
  fixture.Spend("reduce", std::chrono::milliseconds(2));
  fixture.Spend("reduce", std::chrono::milliseconds(3));
  fixture.Spend("perform", std::chrono::milliseconds(4));
  cr_assert(report::Total(fixture.account) == std::chrono::milliseconds(9));
  cr_assert_eq(fixture.account.parts.at("reduce").count, 2U);
}

Test(time_account, reported_leaves_out_parts_that_took_little) {
  time_account_fixture fixture;
  fixture.Spend("reduce", std::chrono::milliseconds(5));
  fixture.Spend("perform", std::chrono::microseconds(10));
  const std::vector<work::log_field> expected{
      {.name = "reduce", .value = "1"}, {.name = "reduce_ms", .value = "5"}};
  cr_assert(report::FieldsOf(fixture.account, std::chrono::milliseconds(1)) ==
            expected);
}

Test(time_account, of_an_event_and_an_effect_names_their_kinds) {
  cr_assert_eq(report::PartOf(work::event(work::hold_answered{})),
               "reduce_hold_answered");
  cr_assert_eq(report::PartOf(work::effect(work::stop_process{})),
               "perform_stop_process");
}
