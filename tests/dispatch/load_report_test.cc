// The leader's periodic report of its queues.

#include <string>
#include <vector>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::kJob;
using tests::kOtherJob;
using tests::simulation_fixture;
using tests::Step;

namespace {

constexpr work::duration kTaskDuration{20000};
constexpr work::duration kReportWithin{6000};
// Longer than two long polls, the age of the records while nothing is stored.
constexpr std::uint64_t kStaleMs = 3000;
// Longer than a read of the registry and the pause after it.
constexpr std::uint64_t kStaleRegistryMs = 1000;

struct load_report_fixture : simulation_fixture {
  load_report_fixture()
      : simulation_fixture({.task_duration = kTaskDuration}) {}

  std::string LeaderName() const {
    return "entry-" + std::to_string(Leader()) + " leader_load";
  }

  // A figure of the leader's latest report.
  std::uint64_t Reported(const std::string& name) const {
    const std::vector<std::string> lines = LinesOf("leader_load");
    cr_assert_not(lines.empty());
    const std::string field = " " + name + "=";
    const std::size_t start = lines.back().find(field);
    cr_assert(start != std::string::npos, "no %s", name.c_str());
    return std::stoull(lines.back().substr(start + field.size()));
  }

  bool Reports(const std::string& name, std::uint64_t at_least) {
    return simulation.RunUntil([&] { return Reported(name) >= at_least; },
                               kReportWithin);
  }
};

}  // namespace

Test(leader_load, is_reported_once_a_second_by_the_leader_only) {
  load_report_fixture fixture;
  const std::size_t before = fixture.LinesOf("leader_load").size();
  fixture.simulation.RunFor(work::duration(5000));
  const std::vector<std::string> lines = fixture.LinesOf("leader_load");
  cr_assert_geq(lines.size() - before, 4U);
  cr_assert_leq(lines.size() - before, 5U);
  for (std::size_t i = before; i < lines.size(); ++i)
    cr_assert(lines[i].find(fixture.LeaderName()) != std::string::npos);
}

Test(leader_load, with_more_work_than_room_reports_jobs_and_units) {
  load_report_fixture fixture;
  fixture.simulation.Submit(0, kJob, {Step(2, 8)});
  fixture.simulation.Submit(0, kOtherJob, {Step(6, 8)});
  cr_assert(fixture.Reports("units_waiting", 2));
  cr_assert_eq(fixture.Reported("jobs"), 2U);
  cr_assert_eq(fixture.Reported("units_placed"), 6U);
  cr_assert_eq(fixture.Reported("workers_listed"), 6U);
  cr_assert_eq(fixture.Reported("workers_silent"), 0U);
}

Test(leader_load, with_a_worker_out_of_reach_reports_it_as_silent) {
  load_report_fixture fixture;
  fixture.simulation.Submit(0, kJob, {Step(1, 8)});
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
  fixture.WorkerOf(kJob).cut = true;
  cr_assert(fixture.Reports("workers_silent", 1));
}

Test(leader_load, while_appends_are_slow_reports_their_age_and_late_progress) {
  load_report_fixture fixture;
  fixture.simulation.store().append_time = work::duration(700);
  for (const char* job : {kJob, kOtherJob})
    fixture.simulation.Submit(fixture.Follower(), job, {Step(3, 8)});
  cr_assert(fixture.Reports("unit_append_ms", 1));
  cr_assert(fixture.Reports("unsaved_for_ms", 1));
  cr_assert_geq(fixture.Reported("unsaved_changes"), 1U);
}

Test(leader_load, when_reads_fail_reports_the_age_of_the_records) {
  load_report_fixture fixture;
  fixture.simulation.RunFor(work::duration(5000));
  cr_assert_lt(fixture.Reported("records_age_ms"), kStaleMs);
  fixture.simulation.store().down = true;
  cr_assert(fixture.Reports("records_age_ms", kStaleMs));
}

Test(leader_load, when_reads_fail_reports_the_age_of_the_registry) {
  load_report_fixture fixture;
  fixture.simulation.RunFor(work::duration(5000));
  cr_assert_lt(fixture.Reported("registry_age_ms"), kStaleRegistryMs);
  fixture.simulation.store().down = true;
  cr_assert(fixture.Reports("registry_age_ms", kStaleMs));
}

Test(leader_load, with_pages_shorter_than_the_records_reports_the_lag) {
  load_report_fixture fixture;
  fixture.simulation.store().max_page_items = 1;
  for (int i = 0; i < 300; ++i) {
    fixture.simulation.store().Put(work::feed::kRecords, "other/a1", {});
  }
  cr_assert(fixture.Reports("records_lag", 1));
}
