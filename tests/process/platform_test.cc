// Tests with real entry processes on the platform's stand-in. Entries and
// workers are killed, frozen, stopped or cut off; the stand-in must see no
// breach of the platform's rules.

#include <criterion/criterion.h>

#include <csignal>

#include "support/platform_site.h"

using parsleyhitch::test::platform_site;
using parsleyhitch::test::site_options;
using parsleyhitch::test::site_reply;
using parsleyhitch::test::site_step;

namespace {

constexpr char kJob[] = "00000000000000a1";
constexpr char kOtherJob[] = "00000000000000b2";
constexpr site_step kGang{.tasks = 4,
                          .accelerators = 8,
                          .task_ms = 1500,
                          .gang = true};
constexpr site_step kIndependentTasks{.tasks = 12,
                                      .accelerators = 4,
                                      .task_ms = 800};

// With this many workers for each core, a leader has proxies.
constexpr std::uint32_t kWorkersPerCore = 3;

struct site_fixture {
  platform_site site;

  explicit site_fixture(const site_options& options = {}) : site(options) {}

  void AwaitRunning() {
    site.Await("a task to run", [&] { return site.Journal().running > 0; });
  }

  void ExpectNoBreach() const {
    cr_expect(site.FirstBreach().empty(), "%s", site.FirstBreach().c_str());
  }
};

}  // namespace

Test(platform_job, accepted_at_one_entry_is_shown_completed_by_another) {
  site_fixture fixture;
  cr_assert_eq(fixture.site.Submit(0, kJob, kIndependentTasks).status, 200);
  fixture.site.AwaitState(1, kJob, "completed");
  // platform_site runs a first job with one task.
  cr_expect_eq(fixture.site.Journal().starts, 1U + kIndependentTasks.tasks);
  fixture.ExpectNoBreach();
}

Test(platform_job, cancelled_while_it_runs_is_gone_from_the_workers) {
  site_fixture fixture;
  fixture.site.Submit(0, kJob, {.tasks = 2, .task_ms = 60000});
  fixture.AwaitRunning();
  cr_assert_eq(fixture.site.Cancel(1, kJob).status, 200);
  fixture.site.Await("all tasks to end",
                     [&] { return fixture.site.Journal().running == 0; });
  fixture.site.AwaitState(2, kJob, "cancelled");
  fixture.ExpectNoBreach();
}

Test(platform_job, with_each_entry_killed_in_turn_ends_without_a_breach) {
  site_fixture fixture;
  fixture.site.Submit(1, kJob, kGang);
  fixture.site.Submit(2, kOtherJob, kIndependentTasks);
  fixture.AwaitRunning();
  for (std::uint32_t entry = 0; entry < 3; ++entry) {
    fixture.site.Signal(entry, SIGKILL);
    fixture.site.Start(entry);
    fixture.site.Await("restarted entry to become ready",
                       [&] { return fixture.site.IsReady(entry); });
  }
  fixture.site.AwaitState(0, kJob, "completed");
  fixture.site.AwaitState(0, kOtherJob, "completed");
  fixture.ExpectNoBreach();
}

// Guards against work that is lost, or started twice, as the process between
// the leader and a worker is lost.
Test(platform_job,
     on_a_site_with_proxies_killed_in_turn_ends_without_a_breach) {
  site_fixture fixture({.entries = 4, .workers_per_core = kWorkersPerCore});
  fixture.site.Submit(1, kJob, kGang);
  fixture.site.Submit(2, kOtherJob, kIndependentTasks);
  fixture.AwaitRunning();
  fixture.site.Await("a proxy to be added", [&] {
    return fixture.site.Logs().find("proxy_added") != std::string::npos;
  });
  for (std::uint32_t entry = 0; entry < 4; ++entry) {
    fixture.site.Signal(entry, SIGKILL);
    fixture.site.Start(entry);
    fixture.site.Await("restarted entry to become ready",
                       [&] { return fixture.site.IsReady(entry); });
  }
  fixture.site.AwaitState(0, kJob, "completed");
  fixture.site.AwaitState(0, kOtherJob, "completed");
  fixture.ExpectNoBreach();
}

Test(platform_job, accepted_before_all_entries_were_killed_ends) {
  site_fixture fixture;
  cr_assert_eq(fixture.site.Submit(0, kJob, kGang).status, 200);
  for (std::uint32_t entry = 0; entry < 3; ++entry)
    fixture.site.Signal(entry, SIGKILL);
  for (std::uint32_t entry = 0; entry < 3; ++entry)
    fixture.site.Start(entry);
  fixture.site.AwaitState(2, kJob, "completed");
  fixture.ExpectNoBreach();
}

Test(platform_job, with_each_entry_frozen_in_turn_ends_without_a_breach) {
  site_fixture fixture;
  fixture.site.Submit(0, kJob, kGang);
  fixture.AwaitRunning();
  for (std::uint32_t entry = 0; entry < 3; ++entry) {
    fixture.site.Signal(entry, SIGSTOP);
    const std::uint32_t other = (entry + 1) % 3;
    fixture.site.Submit(other, "00000000000000c" + std::to_string(entry),
                        kIndependentTasks);
    fixture.site.AwaitState(other, "00000000000000c" + std::to_string(entry),
                            "completed");
    fixture.site.Signal(entry, SIGCONT);
  }
  fixture.site.AwaitState(0, kJob, "completed");
  fixture.ExpectNoBreach();
}

Test(platform_submission, while_the_store_is_down_is_refused_and_never_runs) {
  site_fixture fixture;
  fixture.site.Control(R"({"store_down":true})");
  // Calls that were in progress when the store went down may be refused late or
  // not settled, so the test first waits for an immediate refusal.
  fixture.site.Await("submission to be refused with 503", [&] {
    return fixture.site.Submit(0, kOtherJob, {}).status == 503;
  });
  const std::uint64_t before = fixture.site.Journal().starts;
  cr_assert_eq(fixture.site.Submit(0, kJob, {}).status, 503);
  fixture.site.Control("{}");
  fixture.site.Await("submission to be accepted", [&] {
    return fixture.site.Submit(1, "00000000000000d4", {}).status == 200;
  });
  fixture.site.AwaitState(1, "00000000000000d4", "completed");
  cr_expect(fixture.site.StateOf(1, kJob).empty());
  cr_expect_leq(fixture.site.Journal().starts, before + 2);
  fixture.ExpectNoBreach();
}

Test(platform_store, in_use_has_its_bytes_counted_by_call) {
  site_fixture fixture;
  cr_assert_eq(fixture.site.Submit(0, kJob, {}).status, 200);
  fixture.site.AwaitState(0, kJob, "completed");
  for (const char* metric : {"store_append_submissions_stored_total",
                             "store_append_submissions_bytes_written_total",
                             "store_append_submissions_bytes_read_total",
                             "store_read_records_done_total",
                             "store_read_records_bytes_read_total"}) {
    cr_expect_gt(fixture.site.MetricOf(0, metric), 0U, "%s", metric);
  }
}

Test(platform_store, that_is_down_is_logged_with_the_call_that_failed) {
  site_fixture fixture;
  fixture.site.Control(R"({"store_down":true})");
  fixture.site.Await("an entry to lose the store", [&] {
    const std::string logs = fixture.site.Logs();
    const std::size_t lost = logs.find(R"("decision":"store_lost")");
    return lost != std::string::npos &&
           logs.find(R"("call":")", lost) < logs.find('\n', lost);
  });
}

Test(platform_submission, whose_append_answers_are_lost_runs_once) {
  site_fixture fixture;
  fixture.site.Control(R"({"lose_answers":2})");
  const site_reply reply = fixture.site.Submit(0, kJob, {});
  cr_assert(reply.status == 200 || reply.status == 504, "status %u",
            reply.status);
  fixture.site.AwaitState(1, kJob, "completed");
  cr_expect_eq(fixture.site.Journal().starts, 2U);
  fixture.ExpectNoBreach();
}

Test(platform_worker, out_of_reach_has_its_tasks_started_elsewhere) {
  site_fixture fixture;
  fixture.site.Submit(0, kJob,
                      {.tasks = 12, .accelerators = 4, .task_ms = 2500});
  fixture.AwaitRunning();
  fixture.site.Control(R"({"cut":[0,1]})");
  fixture.site.AwaitState(1, kJob, "completed");
  fixture.ExpectNoBreach();
}

Test(platform_worker, that_restarts_has_its_tasks_started_again) {
  site_fixture fixture;
  fixture.site.Submit(0, kJob, kGang);
  fixture.AwaitRunning();
  fixture.site.Control(R"({"restart":[0,1,2,3,4,5]})");
  fixture.site.AwaitState(1, kJob, "completed");
  fixture.ExpectNoBreach();
}

Test(platform_entry, sent_sigterm_exits_with_0_and_others_keep_serving) {
  site_fixture fixture;
  fixture.site.Submit(0, kJob, kGang);
  fixture.AwaitRunning();
  for (std::uint32_t entry = 0; entry < 2; ++entry) {
    fixture.site.Signal(entry, SIGTERM);
    cr_expect_eq(fixture.site.AwaitExit(entry), 0);
  }
  fixture.site.AwaitState(2, kJob, "completed");
  fixture.ExpectNoBreach();
}

// Guards against an odd entry among those of the workers that ends the entries
// which read the list, or that keeps them from following it.
Test(platform_entries, reading_an_odd_worker_go_on_and_follow_later_ones) {
  site_fixture fixture;
  const std::string nested(100000, '[');
  std::string job = kJob;
  for (const std::string& odd :
       {nested, R"({"service":)" + nested,
        std::string(R"({"service":"pool","state":"ready","born":1e300,
"address":"127.0.0.1:99999","capacity":{"cpu":1e300,"memMb":1,"gpu":8}})")}) {
    fixture.site.Register(odd);
    job.back() += 1;
    fixture.site.Submit(0, job, kGang);
    fixture.site.AwaitState(1, job, "completed");
  }
  // A leader that reads the list from its start.
  fixture.site.Signal(0, SIGKILL);
  fixture.site.Submit(1, kOtherJob, kGang);
  fixture.site.AwaitState(2, kOtherJob, "completed");
  fixture.ExpectNoBreach();
}

Test(platform_configuration, published_again_is_in_force_at_every_entry) {
  site_fixture fixture;
  fixture.site.Publish(2, "later");
  for (std::uint32_t entry = 0; entry < 3; ++entry) {
    fixture.site.Await("old queue to be removed", [&] {
      return fixture.site.Submit(entry, kJob, {}).status == 404;
    });
  }
  fixture.ExpectNoBreach();
}
