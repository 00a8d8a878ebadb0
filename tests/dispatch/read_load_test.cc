// The load that many entries put on the read bandwidth of the store, which they
// share.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::simulation_fixture;
using tests::Step;

namespace {

// A quarter of a large site in tasks, read bandwidth and page size: 490 tasks a
// second, and 80 MB/s shared by 147 entries.
constexpr std::uint32_t kEntries = 40;
constexpr std::uint64_t kReadBytesPerMs = 80000 / 4 * kEntries / 147;
constexpr std::uint64_t kPageBytes = 1048576 / 4;
constexpr std::uint32_t kTasksPerJob = 78;
constexpr work::duration kSubmitInterval{640};
// Tasks run for 2 to 10 s.
constexpr work::duration kShortestTask{2000};
constexpr work::duration kTaskSpread{8000};

// When there is capacity, a unit starts within this time of its submission.
constexpr work::duration kMaxStartDelay{3000};
// What a follower may read for a job beside its submission, however many tasks
// it has: the records of its phases.
constexpr std::uint64_t kMaxOtherBytesPerJob = 512;

struct submitted_job {
  work::duration submitted_at{0};
  std::uint64_t call = 0;
  std::uint32_t started_tasks = 0;
  // The latest start of one of its tasks.
  work::duration started_at{0};
};

struct many_entries_fixture : simulation_fixture {
  many_entries_fixture()
      : simulation_fixture(tests::simulation_options{
            .entries = kEntries,
            .workers = 60,
            .workers_per_rack = 6,
            .worker_prefix = "pool-north-east-",
            .max_hold_time = work::duration(100),
            .task_duration = kShortestTask,
            .task_duration_spread = kTaskSpread,
            .store = {.read_bytes_per_ms = kReadBytesPerMs,
                      .page_bytes = kPageBytes,
                      .newest_page_items = 500,
                      .record_bytes = 262144,
                      .call_bytes = 2097152}}) {
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      tests::simulated_worker& worker = simulation.worker(i);
      worker.on_started =
          [this, observe = worker.on_started](const work::task_id& task) {
            observe(task);
            submitted_job& job = jobs.at(task.job.value());
            job.started_tasks += 1;
            job.started_at = simulation.now();
          };
    }
  }

  // Submits jobs at a steady rate, at one entry after the other.
  void RunLoad(work::duration time) {
    constexpr std::uint64_t kFirstJob = 1000000000000000;
    const work::duration until = simulation.now() + time;
    while (simulation.now() < until) {
      const std::string job = std::to_string(kFirstJob + jobs.size());
      const auto entry = static_cast<std::uint32_t>(jobs.size() % kEntries);
      submitted_job& row = jobs[job];
      row.submitted_at = simulation.now();
      row.call = simulation.Submit(entry, job, {Step(kTasksPerJob, 0)});
      simulation.RunFor(kSubmitInterval);
    }
  }

  // The longest time that a job submitted in the period waited for its last
  // task to start, or has waited so far.
  work::duration LongestStartDelay(work::duration from, work::duration to) {
    work::duration longest{0};
    for (const auto& [id, job] : jobs) {
      if (job.submitted_at < from || job.submitted_at > to)
        continue;
      const bool started = job.started_tasks >= kTasksPerJob;
      const work::duration until = started ? job.started_at : simulation.now();
      longest = std::max(longest, until - job.submitted_at);
    }
    return longest;
  }

  // How many jobs submitted in the period were not accepted.
  std::size_t UnacceptedJobs(work::duration from, work::duration to) {
    return static_cast<std::size_t>(
        std::ranges::count_if(jobs, [&](const auto& row) {
          const submitted_job& job = row.second;
          return job.submitted_at >= from && job.submitted_at <= to &&
                 !simulation.IsAnswered(job.call, work::answer_kind::kAccepted);
        }));
  }

  // Goes on with the load, and checks the jobs that are submitted from now on.
  void ExpectJobsStartInTime() {
    const work::duration from = simulation.now();
    RunLoad(work::duration(15000));
    const work::duration to = simulation.now() - kMaxStartDelay;
    cr_assert(Violation().empty(), "%s", Violation().c_str());
    cr_expect_eq(UnacceptedJobs(from, to), 0U);
    const tests::simulated_store& store = simulation.store();
    const work::duration longest = LongestStartDelay(from, to);
    cr_expect_leq(longest.count(), kMaxStartDelay.count(),
                  "a job waited %lld ms; %llu reads refused, %llu given up",
                  static_cast<long long>(longest.count()),
                  static_cast<unsigned long long>(store.refused_reads()),
                  static_cast<unsigned long long>(store.abandoned_reads()));
  }

  std::map<std::string, submitted_job> jobs;
};

}  // namespace

// Guards against followers that read the progress of every task: their number
// times the jobs' changes exceeded the read bandwidth of the store.
Test(followers, while_jobs_with_many_tasks_run_read_a_few_hundred_bytes_a_job) {
  many_entries_fixture fixture;
  std::vector<std::uint64_t> before;
  for (std::uint32_t i = 0; i < kEntries; ++i)
    before.push_back(fixture.simulation.entry(i).bytes_read);
  const std::uint32_t leader = fixture.Leader();
  fixture.RunLoad(work::duration(5000));
  fixture.simulation.RunFor(kShortestTask + kTaskSpread + kMaxStartDelay);
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
  cr_assert_eq(fixture.Leader(), leader);
  const std::uint64_t limit = fixture.simulation.store().bytes_appended(
                                  work::feed::kRecords, "submitted") +
                              fixture.jobs.size() * kMaxOtherBytesPerJob;
  std::uint64_t most = 0;
  for (std::uint32_t i = 0; i < kEntries; ++i) {
    if (i != leader) {
      most = std::max(most, fixture.simulation.entry(i).bytes_read - before[i]);
    }
  }
  cr_expect_leq(most, limit, "a follower read %llu bytes of %zu jobs",
                static_cast<unsigned long long>(most), fixture.jobs.size());
}

// Guards against a leader that learns of new jobs only behind all progress that
// was stored before them, through a read bandwidth that the entries exhaust.
Test(jobs, submitted_under_load_of_many_entries_start_in_time) {
  many_entries_fixture fixture;
  fixture.RunLoad(work::duration(12000));
  fixture.ExpectJobsStartInTime();
}

// Guards against the same when the entries also have to catch up.
Test(jobs, submitted_under_load_after_a_store_outage_start_in_time) {
  many_entries_fixture fixture;
  fixture.RunLoad(work::duration(12000));
  fixture.simulation.store().down = true;
  fixture.RunLoad(work::duration(2000));
  fixture.simulation.store().down = false;
  fixture.ExpectJobsStartInTime();
}

// Guards against the same when all entries read the newest records at once.
Test(jobs, submitted_under_load_after_a_compaction_start_in_time) {
  many_entries_fixture fixture;
  fixture.RunLoad(work::duration(12000));
  fixture.simulation.store().Compact();
  fixture.ExpectJobsStartInTime();
}
