// Tests of burn rates: time windows, error budgets, merging and encoding.

#include "report/burn.h"

#include <criterion/criterion.h>

namespace model = parsleyhitch::model;
namespace report = parsleyhitch::report;

namespace {

struct burn_fixture {
  std::vector<model::objective> objectives{
      {.service_name = model::service_id("pickup"),
       .target_permille = 990,
       .within = model::duration(100)}};
  report::burn_counts counts;
  model::timestamp now{std::chrono::hours(1000)};

  void Add(int requests, model::duration latency, bool whole_answer) {
    for (int i = 0; i < requests; ++i) {
      counts = report::Observe(std::move(counts), objectives,
                               {.service = model::service_id("pickup"),
                                .at = now,
                                .latency = latency,
                                .whole_answer = whole_answer});
    }
  }

  report::burn_line Line() const {
    return report::BurnReport(counts, objectives, now).front();
  }
};

}  // namespace

Test(burn, all_requests_answered_in_time_leave_the_full_budget) {
  burn_fixture fixture;
  fixture.Add(100, model::duration(50), true);
  cr_assert_eq(fixture.Line().long_burn_permille, 0);
  cr_assert_eq(fixture.Line().budget_left_permille, 1000);
}

Test(burn, failures_at_twice_the_allowed_rate_give_a_burn_rate_of_two) {
  burn_fixture fixture;
  fixture.Add(98, model::duration(50), true);
  fixture.Add(1, model::duration(500), true);
  fixture.Add(1, model::duration(50), false);
  cr_assert_eq(fixture.Line().short_burn_permille, 2000);
  cr_assert_eq(fixture.Line().budget_left_permille, -1000);
}

Test(burn, failures_before_the_short_window_count_in_the_long_window_only) {
  burn_fixture fixture;
  fixture.Add(10, model::duration(50), false);
  fixture.now += std::chrono::minutes(10);
  fixture.Add(10, model::duration(50), true);
  cr_assert_eq(fixture.Line().short_burn_permille, 0);
  cr_assert_gt(fixture.Line().long_burn_permille, 0);
}

Test(burn, merged_reports_of_two_entries_sum_their_counts) {
  burn_fixture fixture;
  fixture.Add(10, model::duration(50), true);
  const std::vector<report::burn_line> one{fixture.Line()};
  const auto merged = report::MergeBurnReports({one, one});
  cr_assert_eq(merged.front().long_total, 20);
}

Test(burn, encoded_report_decodes_to_an_equal_report) {
  burn_fixture fixture;
  fixture.Add(10, model::duration(50), true);
  const std::vector<report::burn_line> lines{fixture.Line()};
  cr_assert(report::DecodeBurn(report::EncodeBurn(lines)) == lines);
}
