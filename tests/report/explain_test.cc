// Tests of tracing a request through the processes' logs.

#include "report/explain.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace report = parsleyhitch::report;

namespace {

// Logs of a job with one task: its worker is lost, the leadership changes, and
// the new leader places the task again.
constexpr char kLogs[] =
    R"(  1.0 front-2 {"at":"2026-05-18T14:00:05.000Z","level":"info","process":"front-2","decision":"job_closed","subject":"a1","phase":"completed","took_ms":"4900"}
{"at":"2026-05-18T14:00:00.100Z","level":"info","process":"front-1","decision":"answered","subject":"/jobs/a1","call":"submit","answer":"accepted"}
{"at":"2026-05-18T14:00:00.200Z","level":"info","process":"front-1","decision":"unit_placed","subject":"a1.0.0.0","attempt":"1","worker":"w-1","waited_ms":"20"}
{"at":"2026-05-18T14:00:01.000Z","level":"warning","process":"front-1","decision":"tasks_lost","subject":"w-1","count":"1","why":"lease lapsed"}
{"at":"2026-05-18T14:00:01.100Z","level":"info","process":"front-1","decision":"leadership_lost","subject":"front-1"}
{"at":"2026-05-18T14:00:03.000Z","level":"info","process":"front-2","decision":"unit_placed","subject":"a1.0.0.0","attempt":"1001","worker":"w-2","waited_ms":"2000"}
{"at":"2026-05-18T14:00:03.100Z","level":"info","process":"front-2","decision":"unit_placed","subject":"b2.0.0.0","attempt":"1","worker":"w-2","waited_ms":"1"}
{"at":"2026-05-18T14:00:09.000Z","level":"info","process":"front-2","decision":"store_lost","subject":"store"}
not a line of a log
)";

struct explain_fixture {
  report::explanation result = report::Explain(kLogs, "a1");

  bool HasLine(report::relation why, const std::string& decision) const {
    return std::ranges::any_of(result.lines, [&](const auto& each) {
      return each.why == why && each.line.decision == decision;
    });
  }

  bool HasSummary(const std::string& line) const {
    return std::ranges::find(result.summary, line) != result.summary.end();
  }
};

}  // namespace

Test(explain, request_logged_by_several_processes_is_listed_in_order_of_time) {
  const explain_fixture fixture;
  cr_assert_eq(fixture.result.lines.size(), 6U);
  cr_assert_eq(fixture.result.lines.front().line.decision, "answered");
  cr_assert_eq(fixture.result.lines.back().line.decision, "job_closed");
  cr_assert_eq(fixture.result.skipped, 1U);
}

Test(explain, request_that_lost_its_worker_names_the_worker_and_the_reason) {
  const explain_fixture fixture;
  cr_assert(fixture.HasLine(report::relation::kWorker, "tasks_lost"));
  cr_assert(fixture.HasSummary("lost with workers: w-1 (lease lapsed) 1"));
}

Test(explain,
     request_during_a_change_of_leader_lists_only_events_of_its_time_range) {
  const explain_fixture fixture;
  cr_assert(fixture.HasLine(report::relation::kEntry, "leadership_lost"));
  cr_assert_not(fixture.HasLine(report::relation::kEntry, "store_lost"));
}

Test(explain, request_in_the_leaders_queue_lists_the_load_of_the_leader) {
  constexpr char kQueuedLogs[] =
      R"({"at":"2026-05-18T14:00:00.000Z","level":"info","process":"front-1","decision":"job_added","subject":"a1"}
{"at":"2026-05-18T14:00:01.000Z","level":"info","process":"front-1","decision":"leader_load","subject":"front-1","jobs":"1"}
{"at":"2026-05-18T14:00:02.000Z","level":"info","process":"front-1","decision":"unit_placed","subject":"a1.0.0.0","worker":"w-1","waited_ms":"2000"}
)";
  const report::explanation result = report::Explain(kQueuedLogs, "a1");
  cr_assert_eq(result.lines.size(), 3U);
  cr_assert_eq(result.lines[1].line.decision, "leader_load");
  cr_assert(result.lines[1].why == report::relation::kEntry);
}

Test(explain, request_that_waited_reports_its_longest_wait) {
  const explain_fixture fixture;
  cr_assert(
      fixture.HasSummary("placed: 2 times; longest wait 2000 ms (a1.0.0.0 at "
                         "2026-05-18T14:00:03.000Z)"));
  cr_assert(fixture.HasSummary("ended: completed after 4900 ms"));
}

Test(explain, request_that_no_log_mentions_has_no_lines) {
  cr_assert(report::Explain(kLogs, "c3").lines.empty());
}
