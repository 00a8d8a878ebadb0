// The cases of the second review:
//   cases-2 CASE DAEMON RECORD
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
// With TROUBLE=0 in the environment there is no disruption.

#include <iostream>

#include "site.h"

namespace site2 {

namespace {

bool HasTrouble() {
  const char* set = std::getenv("TROUBLE");
  return set == nullptr || std::string(set) != "0";
}

site* the_site = nullptr;

site& NewSite(const std::string& daemon) {
  the_site = new site({.daemon = daemon});
  return *the_site;
}

int Verdict(bool broken, const std::string& why) {
  Log().Line((broken ? "BROKEN: " : "held: ") + why);
  return broken ? 1 : 0;
}

// A sound job, whose worker crashes half a second after its task was started,
// three times. No run of it ends `failed`.
int CrashedWorkers(const std::string& daemon) {
  site& here = NewSite(daemon);
  here.Begin();
  const std::string job = "00000000000000c1";
  here.Submit(1, job, 1, 8, 3000);
  constexpr int kCrashes = 3;
  int crashes = 0;
  std::size_t seen = 0;
  std::string state;
  const int64_t until = NowMs() + 75000;
  while (NowMs() < until && state != "completed" && state != "failed") {
    const std::vector<run> runs = here.Runs();
    for (; seen < runs.size(); ++seen) {
      const run& each = runs[seen];
      if (!HasTrouble() || each.task.rfind(job, 0) != 0 || crashes == kCrashes)
        continue;
      crashes += 1;
      SleepMs(500);
      here.Named(each.worker)->Crash();
    }
    state = here.StateOf(2, job);
    SleepMs(50);
  }
  state = here.StateOf(2, job, "/jobs/", true);
  int failed = 0;
  for (const run& each : here.Runs())
    failed += each.task.rfind(job, 0) == 0 && each.how == "failed" ? 1 : 0;
  here.End();
  return Verdict(state == "failed" && failed < 3,
                 "the job is shown as " + state + " after " +
                     std::to_string(failed) + " runs that ended failed");
}

// The count of the queue's waiting jobs; -1 if there is no answer.
int CountOf(site& here, std::size_t entry, const std::string& prefix) {
  const response got = here.Ask(entry, "GET", prefix);
  const json body = json::parse(got.body, nullptr, false);
  return got.status == 200 && body.is_object() ? body.value("waiting", 0) : -1;
}

// Four of 24 workers are cut off for 7.4 s. Four jobs come meanwhile. More than
// 5 s after their acceptance none of their tasks has begun, and the queue's
// count of waiting jobs is asked for.
int WaitingCount(const std::string& daemon) {
  site& here = NewSite(daemon);
  here.Begin();
  SleepMs(3000);
  constexpr int kCut = 4;
  for (int i = 0; HasTrouble() && i < kCut; ++i)
    here.At(i).Cut(true);
  const int64_t cut_at = NowMs();
  SleepMs(100);
  std::vector<std::string> jobs;
  for (int i = 0; i < kCut; ++i) {
    jobs.push_back("00000000000000d" + std::to_string(i));
    const int status =
        here.Submit(1, jobs.back(), 1, 8, 2000, "/later/").status;
    if (status != 200)
      throw cannot_run("a job was not accepted");
  }
  const int64_t accepted_by = NowMs();
  bool broken = false;
  // The bound: visible_ms (3 s) + 2 s after the acceptance.
  while (NowMs() - cut_at < 7300) {
    SleepMs(100);
    if (NowMs() - accepted_by <= 5100)
      continue;
    const int waiting = CountOf(here, 2, "/later/");
    int begun = 0;
    for (const std::string& job : jobs) {
      const std::vector<run> runs = here.Runs();
      begun += std::ranges::any_of(
          runs, [&](const run& each) { return each.task.rfind(job, 0) == 0; });
    }
    const int not_begun = kCut - begun;
    Log().Line(std::to_string(not_begun) + " accepted jobs have not begun, " +
               std::to_string(waiting) + " are given as waiting");
    broken = broken || (waiting >= 0 && 2 * waiting < not_begun);
  }
  for (int i = 0; i < kCut; ++i)
    here.At(i).Cut(false);
  for (const std::string& job : jobs) {
    here.Await("the jobs to complete", 40000,
               [&] { return here.StateOf(0, job, "/later/") == "completed"; });
  }
  here.End();
  return Verdict(broken, "the count of waiting jobs");
}

// The store's answers to two appends are lost within two seconds, one of them
// is carried out late, and the leader is killed twice. A task whose first two
// runs end `failed`, of three that its queue allows, is not run a third time.
int CountedTwice(const std::string& daemon) {
  site& here = NewSite(daemon);
  const std::string busy = "00000000000000e1";
  const std::string job = "00000000000000e2";
  // Both jobs need a label that the first and the last worker have. The last
  // one is in another zone, 0.9 ms away, so that a new leader hears the first
  // one, with the second run, before it.
  const json needs{{"requirements", "big"}};
  here.At(0).more_labels = {"big"};
  here.At(23).more_labels = {"big"};
  for (int i = 12; i < 24; ++i)
    here.At(i).way = std::chrono::microseconds(1800);
  for (int i = 0; i < 24; ++i) {
    here.At(i).fails = [&here, job](const std::string& task, uint64_t) {
      if (task.rfind(job, 0) != 0)
        return false;
      return here.CountRunsLocked(task) <= 2;
    };
  }
  // 0: nothing lost; 1: the next append to the units is carried out late;
  // 2: the next one is carried out, and its answer is lost.
  static std::atomic<int> loses = 0;
  static std::atomic<int> lost = 0;
  static std::atomic<int> writes = 0;
  static std::atomic<int> leader = -1;
  here.platform().disruption =
      [&here, job](const call& each, int entry) -> std::optional<answer> {
    if (each.path == "/log-append")
      writes += 1;
    if (store::IsLeaderAppend(each, "keyed.parsleyhitch")) {
      const answer given = here.platform().Serve(each);
      if (given.status == 200)
        leader = entry;
      return given;
    }
    if (!store::IsLeaderAppend(each, "keyed.parsleyhitch-units"))
      return {};
    int now = 1;
    if (each.body.find("unit/" + job) != std::string::npos &&
        loses.compare_exchange_strong(now, 10)) {
      lost += 1;
      Log().Line("store: an append of front-" + std::to_string(entry + 1) +
                 " is not answered, and carried out 1.5 s later");
      SleepMs(1500);
      const answer given = here.platform().Serve(each);
      Log().Line("store: carries out the late append: " +
                 std::to_string(given.status) + " " + given.body);
      return answer{.drop = true};
    }
    // The first append of a new leader is its claim to the units.
    now = 2;
    if (each.body.find("unit/" + job) != std::string::npos &&
        loses.compare_exchange_strong(now, 20)) {
      lost += 1;
      const answer given = here.platform().Serve(each);
      Log().Line("store: an append of front-" + std::to_string(entry + 1) +
                 " is carried out (" + std::to_string(given.status) +
                 "), its answer is lost");
      loses = 21;
      SleepMs(1500);
      return answer{.drop = true};
    }
    return {};
  };
  here.Begin();
  SleepMs(1000);
  // Until shortly before the end of the first run this job has the worker that
  // the second run is placed on.
  here.Submit(1, busy, 1, 8, 500, "/jobs/", needs);
  here.Submit(1, job, 1, 8, 5000, "/jobs/", needs);
  const auto runs_of_job = [&] {
    std::vector<run> found;
    for (const run& each : here.Runs()) {
      if (each.task.rfind(job, 0) == 0)
        found.push_back(each);
    }
    return found;
  };
  here.Await("the first run", 5000, [&] { return !runs_of_job().empty(); });
  // The run ends after the other job.
  here.SetWork(job, 1000);
  SleepMs(700);
  const int64_t from = NowMs();
  const int writes_before = writes;
  if (HasTrouble())
    loses = 1;
  // Other clients hand in jobs that are due in an hour, all the while.
  std::atomic<bool> goes_on = true;
  std::thread others([&] {
    for (int i = 0; goes_on; ++i) {
      char id[24];
      std::snprintf(id, sizeof(id), "%016x", 0xf000 + i);
      const json step{{"count", 1}, {"cpu", 1000}, {"memMb", 100}};
      here.Ask(static_cast<std::size_t>(i) % 3, "POST",
               std::string("/later/") + id,
               json{{"spec", "timed"},
                    {"phases", {step}},
                    {"repeatCount", 1},
                    {"startMs", UnixMs() + 3600000},
                    {"intervalMs", 1000}}
                   .dump());
      SleepMs(20);
    }
  });
  here.Await("the second run", 15000,
             [&] { return runs_of_job().size() >= 2; });
  here.SetWork(job, 300);
  if (HasTrouble()) {
    const int first = leader;
    here.Signal(static_cast<std::size_t>(first), SIGKILL);
    loses = 2;
    here.Await("the lost answer", 15000, [&] { return loses == 21; });
    const int second = leader;
    here.Signal(static_cast<std::size_t>(second), SIGKILL);
    Log().Line("the disruption took " + std::to_string(NowMs() - from) +
               " ms; " + std::to_string(lost) + " of " +
               std::to_string(writes - writes_before) +
               " writes were not answered");
    SleepMs(500);
    goes_on = false;
    here.Start(static_cast<std::size_t>(first));
    here.Start(static_cast<std::size_t>(second));
  }
  SleepMs(HasTrouble() ? 0 : 1500);
  goes_on = false;
  others.join();
  std::string state;
  const int64_t until = NowMs() + 60000;
  const std::size_t reader = [&] {
    for (std::size_t i = 0; i < here.entries().size(); ++i) {
      if (here.entries()[i].pid > 0)
        return i;
    }
    return std::size_t{0};
  }();
  while (NowMs() < until && state != "completed" && state != "failed") {
    state = here.StateOf(reader, job);
    SleepMs(100);
  }
  state = here.StateOf(reader, job, "/jobs/", true);
  int failed = 0;
  for (const run& each : runs_of_job())
    failed += each.how == "failed" ? 1 : 0;
  here.End();
  return Verdict(state == "failed" && failed < 3,
                 "the job is shown as " + state + " after " +
                     std::to_string(failed) + " runs that ended failed");
}

}  // namespace

}  // namespace site2

int main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string name = argv[1];
  site2::Log().Open(argv[3]);
  int verdict = 2;
  try {
    if (name == "crashed-workers")
      verdict = site2::CrashedWorkers(argv[2]);
    if (name == "counted-twice")
      verdict = site2::CountedTwice(argv[2]);
    if (name == "waiting-count")
      verdict = site2::WaitingCount(argv[2]);
  } catch (const std::exception& error) {
    site2::Log().Line(std::string("can't run: ") + error.what());
  }
  if (site2::the_site != nullptr)
    site2::the_site->End();
  std::cout << name << ": " << verdict << std::endl;
  // The threads of the stand-ins go on; children end with this process.
  _exit(verdict);
}
