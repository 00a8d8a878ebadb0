// Tests of the invariants with real processes on loopback. Entries, workers and
// the log are killed, frozen, cut off or made to lose answers, singly and in
// pairs.

#include <criterion/criterion.h>

#include <csignal>
#include <map>
#include <set>

#include "support/cluster.h"

namespace model = parsleyhitch::model;
using parsleyhitch::test::cluster;
using parsleyhitch::test::reply;
using parsleyhitch::test::request;

namespace {

constexpr char kGuaranteedJob[] =
    R"({"owner":"coop","kind":"wear","capacity":{"gang_size":4,"accelerators":8,"nearness":"rack"},"declared_run_time_ms":1000})";
constexpr char kBorrowingJob[] =
    R"({"owner":"laundry","kind":"stain","capacity":{"gang_size":1,"accelerators":8},"declared_run_time_ms":600000,"preemptible":true})";
constexpr char kGangJob[] =
    R"({"owner":"laundry","kind":"fold","capacity":{"gang_size":4,"accelerators":8},"declared_run_time_ms":1000,"preemptible":true})";

struct guarantees_fixture {
  cluster site{{.task_ms = 60000}};
  std::vector<std::string> borrowing_jobs;

  // Starts a preemptible job on every worker, which borrows the capacity that
  // is reserved for the guarantee.
  void FillWithBorrowingJobs() {
    for (std::uint32_t i = 0; i < site.workers(); ++i)
      borrowing_jobs.push_back(site.Submit(i % 3, kBorrowingJob));
    for (const std::string& job : borrowing_jobs)
      site.AwaitPhase(1, job, "running");
  }
};

struct gangs_fixture {
  cluster site{{}};

  // Checks that no member ran without all members of its gang having been held.
  void ExpectWholeGangs(std::size_t members) const {
    std::map<model::fence, std::set<std::uint32_t>> held;
    std::map<model::fence, std::set<std::uint32_t>> ran;
    for (std::uint32_t worker = 0; worker < site.workers(); ++worker) {
      for (const auto& task : site.Journal(worker).tasks) {
        if (task.state == model::task_state::kHeld)
          held[task.token].insert(worker);
        if (task.state == model::task_state::kRunning)
          ran[task.token].insert(worker);
      }
    }
    for (const auto& [token, workers] : ran)
      cr_expect_eq(held[token].size(), members,
                   "a gang started before all its members were held");
  }
};

struct requests_fixture {
  cluster site{{}};

  static request LogRequest(std::uint32_t entry, const std::string& key) {
    return {.entry = entry,
            .service = "log",
            .workspace = "coop",
            .body = key,
            .key = key};
  }

  static request PickupRequest(std::uint32_t entry, const std::string& body) {
    return {.entry = entry,
            .service = "pickup",
            .workspace = "laundry",
            .body = body};
  }

  // Returns requests that are spread evenly over the entries.
  static std::vector<request> PickupRequests(int count) {
    std::vector<request> all;
    for (int i = 0; i < count; ++i)
      all.push_back(PickupRequest(static_cast<std::uint32_t>(i) % 3,
                                  "gate " + std::to_string(i)));
    return all;
  }

  static void ExpectOwnAnswers(const std::vector<request>& requests,
                               const std::vector<reply>& replies) {
    for (std::size_t i = 0; i < requests.size(); ++i) {
      cr_expect_eq(replies[i].status, 200, "%s", replies[i].body.c_str());
      cr_expect_eq(replies[i].body, "served " + requests[i].body);
    }
  }
};

std::string Manifest(int version, int base) {
  return R"({"version":)" + std::to_string(version) + R"(,"base":)" +
         std::to_string(base) +
         R"(,"workspaces":[{"id":"coop"},{"id":"laundry"}],"services":[{"id":"pickup","owner":"laundry","rank":"urgent","default_deadline_ms":3000}]})";
}

}  // namespace

Test(invariant_1, borrowed_shape_with_an_entry_killed_is_reclaimed) {
  guarantees_fixture fixture;
  fixture.FillWithBorrowingJobs();
  const std::string job = fixture.site.Submit(0, kGuaranteedJob);
  fixture.site.SignalEntry(0, SIGKILL);
  fixture.site.AwaitPhase(1, job, "running");
}

Test(invariant_1,
     borrowed_shape_with_silent_checkpoints_and_a_worker_killed_is_reclaimed) {
  guarantees_fixture fixture;
  fixture.site.ControlWorkers(R"({"ignores_checkpoints":true})");
  fixture.FillWithBorrowingJobs();
  fixture.site.SignalWorker(0, SIGKILL);
  const std::string job = fixture.site.Submit(0, kGuaranteedJob);
  fixture.site.AwaitPhase(1, job, "running");
}

Test(invariant_2, gang_with_a_worker_frozen_runs_whole) {
  gangs_fixture fixture;
  fixture.site.SignalWorker(5, SIGSTOP);
  const std::string first = fixture.site.Submit(0, kGangJob);
  const std::string second = fixture.site.Submit(1, kGangJob);
  fixture.site.Await("one gang to finish", [&] {
    return fixture.site.PhaseOf(2, first) == "finished" ||
           fixture.site.PhaseOf(2, second) == "finished";
  });
  fixture.site.SignalWorker(5, SIGCONT);
  fixture.site.AwaitPhase(2, first, "finished");
  fixture.site.AwaitPhase(2, second, "finished");
  fixture.ExpectWholeGangs(4);
}

Test(invariant_2,
     gang_with_an_entry_killed_and_append_answers_lost_runs_whole) {
  gangs_fixture fixture;
  fixture.site.ControlLog(R"({"lose_answers":4})");
  const std::string job = fixture.site.Submit(0, kGangJob);
  fixture.site.SignalEntry(0, SIGKILL);
  fixture.site.AwaitPhase(1, job, "finished");
  fixture.ExpectWholeGangs(4);
}

Test(invariant_3, answers_crossed_by_one_worker_reach_only_their_callers) {
  requests_fixture fixture;
  fixture.site.ControlWorker(0, R"({"answers":"crossed"})");
  const auto requests = requests_fixture::PickupRequests(60);
  requests_fixture::ExpectOwnAnswers(requests,
                                     fixture.site.SendTogether(requests));
}

Test(invariant_3, answers_with_a_worker_killed_and_one_frozen_are_whole) {
  requests_fixture fixture;
  fixture.site.SignalWorker(0, SIGKILL);
  fixture.site.SignalWorker(1, SIGSTOP);
  const auto requests = requests_fixture::PickupRequests(40);
  const auto replies = fixture.site.SendTogether(requests);
  for (std::size_t i = 0; i < requests.size(); ++i) {
    if (replies[i].status == 200)
      cr_expect_eq(replies[i].body, "served " + requests[i].body);
    else
      cr_expect_eq(replies[i].run, "outcome_unknown", "%s",
                   replies[i].body.c_str());
  }
}

Test(invariant_4, refusal_of_a_request_that_ran_is_outcome_unknown) {
  requests_fixture fixture;
  fixture.site.ControlWorkers(R"({"answers":"none"})");
  request log_request = requests_fixture::LogRequest(0, "k1");
  log_request.deadline_ms = 800;
  cr_expect_eq(fixture.site.Send(log_request).run, "outcome_unknown");
  cr_expect_eq(fixture.site.CountRuns("k1"), 1);
}

Test(invariant_4, refusal_with_the_log_down_is_not_run_and_true) {
  requests_fixture fixture;
  fixture.site.ControlLog(R"({"down":true})");
  request log_request = requests_fixture::LogRequest(0, "k1");
  log_request.deadline_ms = 800;
  cr_expect_eq(fixture.site.Send(log_request).run, "not_run");
  fixture.site.ControlLog(R"({})");
  fixture.site.AwaitStatus(1, "log_readable", "true");
  cr_expect_eq(fixture.site.CountRuns("k1"), 0);
  cr_expect_eq(fixture.site.Send(requests_fixture::LogRequest(1, "k1")).status,
               200);
  cr_expect_eq(fixture.site.CountRuns("k1"), 1);
}

Test(invariant_5, same_key_through_every_entry_at_once_runs_once) {
  requests_fixture fixture;
  for (int round = 0; round < 5; ++round) {
    const std::string key = "k" + std::to_string(round);
    const auto replies =
        fixture.site.SendTogether({requests_fixture::LogRequest(0, key),
                                   requests_fixture::LogRequest(1, key),
                                   requests_fixture::LogRequest(2, key)});
    for (const reply& each : replies)
      cr_expect_eq(each.status, 200, "%s", each.body.c_str());
    cr_expect_eq(fixture.site.CountRuns(key), 1);
  }
}

Test(invariant_5, holder_killed_while_its_call_runs_is_not_doubled) {
  requests_fixture fixture;
  fixture.site.ControlWorkers(R"({"answer_ms":3000})");
  request log_request = requests_fixture::LogRequest(0, "k1");
  log_request.deadline_ms = 1;
  fixture.site.Send(log_request);
  request slow = requests_fixture::LogRequest(0, "k2");
  slow.deadline_ms = 200;
  fixture.site.Send(slow);
  fixture.site.SignalEntry(0, SIGKILL);
  request repeated = requests_fixture::LogRequest(1, "k2");
  repeated.deadline_ms = 1500;
  const reply answer = fixture.site.Send(repeated);
  cr_expect_leq(fixture.site.CountRuns("k2"), 1);
  cr_expect(answer.status == 200 || answer.run == "outcome_unknown", "%s",
            answer.body.c_str());
}

Test(invariant_5, holder_frozen_and_answers_lost_is_not_doubled) {
  requests_fixture fixture;
  fixture.site.ControlLog(R"({"lose_answers":3})");
  fixture.site.SignalEntry(0, SIGSTOP);
  const auto replies =
      fixture.site.SendTogether({requests_fixture::LogRequest(1, "k1"),
                                 requests_fixture::LogRequest(2, "k1")});
  for (const reply& each : replies)
    cr_expect_eq(each.status, 200, "%s", each.body.c_str());
  fixture.site.SignalEntry(0, SIGCONT);
  cr_expect_eq(fixture.site.Send(requests_fixture::LogRequest(0, "k1")).status,
               200);
  cr_expect_eq(fixture.site.CountRuns("k1"), 1);
}

Test(invariant_6, endpoint_that_says_it_is_leaving_gets_no_new_work) {
  requests_fixture fixture;
  fixture.site.ControlVmList("down");
  fixture.site.ControlWorker(0, R"({"leaving":true})");
  for (std::uint32_t entry = 0; entry < 3; ++entry)
    fixture.site.AwaitStatus(entry, "workers_leaving", "1");
  const std::size_t before = fixture.site.Journal(0).runs.size();
  const auto requests = requests_fixture::PickupRequests(60);
  requests_fixture::ExpectOwnAnswers(requests,
                                     fixture.site.SendTogether(requests));
  cr_expect_eq(fixture.site.Journal(0).runs.size(), before);
}

Test(invariant_6, knower_cut_from_the_log_tells_its_peers) {
  requests_fixture fixture;
  fixture.site.ControlLog(R"({"cut":[")" + fixture.site.LogAddress(0) +
                          R"("]})");
  fixture.site.AwaitStatus(0, "log_readable", "false");
  fixture.site.ControlWorker(0, R"({"leaving":true})");
  for (std::uint32_t entry = 0; entry < 3; ++entry)
    fixture.site.AwaitStatus(entry, "workers_leaving", "1");
}

Test(invariant_7, sigterm_under_load_cuts_no_request) {
  requests_fixture fixture;
  fixture.site.ControlWorkers(R"({"answer_ms":600})");
  const auto requests = requests_fixture::PickupRequests(45);
  fixture.site.SignalEntry(1, SIGTERM);
  requests_fixture::ExpectOwnAnswers(requests,
                                     fixture.site.SendTogether(requests));
  cr_expect_eq(fixture.site.AwaitExit(1), 0);
}

Test(invariant_7, two_entries_drained_with_the_log_down_cut_no_request) {
  requests_fixture fixture;
  fixture.site.ControlWorkers(R"({"answer_ms":600})");
  fixture.site.ControlLog(R"({"down":true})");
  const auto requests = requests_fixture::PickupRequests(45);
  fixture.site.SignalEntry(1, SIGTERM);
  fixture.site.SignalEntry(2, SIGTERM);
  requests_fixture::ExpectOwnAnswers(requests,
                                     fixture.site.SendTogether(requests));
  cr_expect_eq(fixture.site.AwaitExit(1), 0);
  cr_expect_eq(fixture.site.AwaitExit(2), 0);
}

Test(invariant_8, operators_racing_on_one_base_leave_one_version_everywhere) {
  requests_fixture fixture;
  const reply first =
      fixture.site.Call(0, "POST", "/v1/manifest", Manifest(2, 1));
  const reply second =
      fixture.site.Call(1, "POST", "/v1/manifest", Manifest(3, 1));
  cr_expect_eq(first.status, 202);
  cr_expect_eq(second.status, 409);
  for (std::uint32_t entry = 0; entry < 3; ++entry)
    fixture.site.AwaitStatus(entry, "manifest_version", "2");
}

Test(invariant_8, entry_cut_from_the_log_has_the_version_from_its_peers) {
  requests_fixture fixture;
  fixture.site.ControlLog(R"({"cut":[")" + fixture.site.LogAddress(2) +
                          R"("]})");
  fixture.site.AwaitStatus(2, "log_readable", "false");
  cr_expect_eq(
      fixture.site.Call(0, "POST", "/v1/manifest", Manifest(2, 1)).status, 202);
  fixture.site.AwaitStatus(2, "manifest_version", "2");
  cr_expect_eq(fixture.site.StatusField(2, "log_readable"), "false");
}

Test(invariant_8,
     entry_restarted_after_records_were_trimmed_serves_nothing_older) {
  requests_fixture fixture;
  cr_expect_eq(
      fixture.site.Call(0, "POST", "/v1/manifest", Manifest(2, 1)).status, 202);
  fixture.site.AwaitStatus(2, "manifest_version", "2");
  fixture.site.ControlLog(R"({"keep":3})");
  fixture.site.StartEntry(2);
  // Makes the other entries write records until a checkpoint is due; the
  // restarted entry needs one because the log was trimmed.
  fixture.site.Await("manifest version 2 at the restarted entry", [&] {
    fixture.site.Send(requests_fixture::PickupRequest(0, "x"));
    fixture.site.Submit(0, kBorrowingJob);
    return fixture.site.StatusField(2, "manifest_version") == "2";
  });
}
