// Closed jobs leave the store and the entries some time after their end.

#include <algorithm>
#include <cstdint>
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

// What callers are promised, and when every closed job is gone: the longest
// lease and a pause between two deletions later.
constexpr work::duration kPromised{120000};
constexpr work::duration kGone{140000};
constexpr std::uint32_t kMostDeletedAtOnce = 200;

// The ID of a job from its number.
std::string JobId(std::uint32_t number) {
  constexpr std::uint64_t kFirst = 1000000000000000;
  return std::to_string(kFirst + number);
}

struct closed_jobs_fixture : simulation_fixture {
  explicit closed_jobs_fixture(const tests::simulation_options& options = {})
      : simulation_fixture(options) {}

  void Complete(const std::string& job) {
    simulation.Submit(Follower(), job, {Step(1, 1)});
    cr_assert(Ends(job, work::job_phase::kCompleted));
  }

  // Submits jobs one after the other and runs until all are completed.
  void CompleteMany(std::uint32_t jobs) {
    for (std::uint32_t i = 0; i < jobs; ++i) {
      simulation.Submit(Follower(), JobId(i), {Step(1, 1)});
      simulation.RunFor(work::duration(20));
    }
    for (std::uint32_t i = 0; i < jobs; ++i)
      cr_assert(Ends(JobId(i), work::job_phase::kCompleted));
  }

  // The keys of jobs in the store.
  std::size_t JobKeys() {
    const work::newest_read newest = simulation.store().Newest(
        {.source = work::feed::kRecords, .after = ""});
    std::string after = newest.next_page_after;
    std::size_t found = CountJobKeys(newest.items);
    while (!after.empty()) {
      const work::newest_read next = simulation.store().Newest(
          {.source = work::feed::kRecords, .after = after});
      found += CountJobKeys(next.items);
      after = next.next_page_after;
    }
    return found;
  }

  // How many jobs were deleted from the store so far.
  std::size_t DeletedJobs() {
    return static_cast<std::size_t>(std::ranges::count_if(
        simulation.store().records(), [](const work::feed_item& each) {
          return each.deleted && each.key.starts_with("progress/");
        }));
  }

  std::size_t JobsKnownTo(std::uint32_t entry) {
    return simulation.entry(entry).state.ledger.jobs.size();
  }

  bool ReadAnswers(std::uint32_t entry,
                   const std::string& job,
                   work::answer_kind kind) {
    const std::uint64_t call = simulation.Read(entry, job);
    simulation.RunFor(work::duration(1000));
    return simulation.IsAnswered(call, kind);
  }

  void KillAllBut(std::uint32_t kept) {
    for (std::uint32_t i = 0; i < 3; ++i) {
      if (i != kept)
        simulation.Kill(i);
    }
  }

  void ExpectStarts(std::uint64_t starts) {
    cr_expect_eq(simulation.starts(), starts);
    cr_expect(Violation().empty(), "%s", Violation().c_str());
  }

 private:
  static std::size_t CountJobKeys(const std::vector<work::feed_item>& items) {
    return static_cast<std::size_t>(
        std::ranges::count_if(items, [](const work::feed_item& each) {
          return each.key.starts_with("submitted/") ||
                 each.key.starts_with("cancelled/") ||
                 each.key.starts_with("progress/");
        }));
  }
};

}  // namespace

// Guards against a state that is told for less than its time, and against jobs
// that are kept for good.
Test(closed_job, is_told_for_its_time_and_unknown_after_it) {
  closed_jobs_fixture fixture;
  fixture.Complete(kJob);
  fixture.simulation.RunFor(kPromised);
  for (std::uint32_t i = 0; i < 3; ++i)
    cr_expect(fixture.ReadAnswers(i, kJob, work::answer_kind::kState));
  fixture.simulation.RunFor(kGone - kPromised);
  cr_expect_eq(fixture.JobKeys(), 0U);
  for (std::uint32_t i = 0; i < 3; ++i) {
    cr_expect_eq(fixture.JobsKnownTo(i), 0U);
    cr_expect(fixture.ReadAnswers(i, kJob, work::answer_kind::kNoJob));
  }
  const std::uint64_t cancel = fixture.simulation.Cancel(0, kJob);
  fixture.simulation.RunFor(work::duration(1000));
  cr_expect(fixture.simulation.IsAnswered(cancel, work::answer_kind::kNoJob));
  fixture.ExpectStarts(1);
}

// Guards against cancellations that are kept for good.
Test(cancelled_job, is_unknown_after_its_time) {
  closed_jobs_fixture fixture;
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 1)});
  cr_assert(fixture.Runs(kJob, work::duration(2000)));
  fixture.simulation.Cancel(fixture.Follower(), kJob);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCancelled));
  fixture.simulation.RunFor(kGone);
  cr_expect_eq(fixture.JobKeys(), 0U);
  fixture.ExpectStarts(1);
}

// Guards against the deletion of jobs by their age instead of by their end.
Test(open_job, that_is_old_is_kept) {
  closed_jobs_fixture fixture({.task_duration = 2 * kGone});
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 1)});
  cr_assert(fixture.Runs(kJob, work::duration(2000)));
  fixture.simulation.RunFor(kGone);
  cr_expect_eq(fixture.JobKeys(), 2U);
  cr_expect(fixture.ReadAnswers(0, kJob, work::answer_kind::kState));
  cr_expect(fixture.IsRunning(kJob));
  fixture.ExpectStarts(1);
}

// Guards against jobs that stay when the answer of their deletion is lost, and
// against a repeat that harms.
Test(deletion, whose_answer_is_lost_is_finished) {
  closed_jobs_fixture fixture;
  fixture.Complete(kJob);
  fixture.simulation.RunFor(kPromised);
  fixture.simulation.store().lose_answers = 2;
  fixture.simulation.RunFor(kGone - kPromised);
  cr_expect_eq(fixture.simulation.store().lose_answers, 0U);
  cr_expect_eq(fixture.JobKeys(), 0U);
  for (std::uint32_t i = 0; i < 3; ++i)
    cr_expect_eq(fixture.JobsKnownTo(i), 0U);
  fixture.Complete(kOtherJob);
  fixture.ExpectStarts(2);
}

// Guards against jobs that stay when their leader is gone: its successor has
// known of their end for as long.
Test(successor, of_a_leader_that_deleted_nothing_deletes_in_time) {
  closed_jobs_fixture fixture;
  fixture.Complete(kJob);
  fixture.simulation.RunFor(kPromised);
  fixture.simulation.Kill(fixture.Leader());
  fixture.simulation.RunFor(kGone - kPromised);
  cr_expect_eq(fixture.JobKeys(), 0U);
  fixture.ExpectStarts(1);
}

// Guards against a job that runs again when the deletion is divided between two
// leaders.
Test(successor, of_a_leader_lost_while_it_deletes_finishes_and_runs_nothing) {
  constexpr std::uint32_t kJobs = 250;
  closed_jobs_fixture fixture({.task_duration = work::duration(100)});
  fixture.CompleteMany(kJobs);
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.DeletedJobs() > 0; }, kGone));
  cr_assert_gt(fixture.JobKeys(), 0U);
  fixture.simulation.Kill(fixture.Leader());
  cr_expect(fixture.simulation.RunUntil([&] { return fixture.JobKeys() == 0; },
                                        work::duration(30000)));
  fixture.ExpectStarts(kJobs);
}

// Guards against a frozen leader that deletes what it no longer leads.
Test(leader, frozen_before_it_deletes_deletes_nothing_after_its_successor) {
  closed_jobs_fixture fixture;
  fixture.Complete(kJob);
  fixture.simulation.RunFor(kPromised);
  const std::uint32_t first = fixture.Leader();
  fixture.simulation.Freeze(first);
  fixture.simulation.RunFor(kGone - kPromised);
  cr_assert_eq(fixture.JobKeys(), 0U);
  const std::size_t deleted = fixture.DeletedJobs();
  fixture.simulation.Submit(fixture.Leader(), kJob, {Step(1, 1)});
  cr_assert(fixture.Runs(kJob, work::duration(3000)));
  fixture.simulation.Thaw(first);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  cr_expect_eq(fixture.DeletedJobs(), deleted);
}

// Guards against a job that an entry takes for queued because it read some of
// its records before their deletion and others after it.
Test(entry, that_reads_pages_while_jobs_are_deleted_runs_none_again) {
  constexpr std::uint32_t kJobs = 30;
  closed_jobs_fixture fixture({.task_duration = work::duration(100),
                               .store = {.newest_page_items = 1}});
  fixture.CompleteMany(kJobs);
  const std::uint32_t reader = fixture.Follower();
  // Ends and starts again all the while.
  const work::duration gone = fixture.simulation.now() + kGone;
  fixture.simulation.RunFor(kPromised);
  while (fixture.simulation.now() < gone) {
    fixture.simulation.Kill(reader);
    fixture.simulation.Start(reader);
    fixture.simulation.RunFor(work::duration(700));
  }
  cr_assert_eq(fixture.JobKeys(), 0U);
  fixture.simulation.RunFor(work::duration(5000));
  cr_expect_eq(fixture.JobsKnownTo(reader), 0U);
  fixture.KillAllBut(reader);
  fixture.simulation.RunFor(work::duration(10000));
  cr_assert_eq(fixture.Leader(), reader);
  fixture.ExpectStarts(kJobs);
}

// Guards against a job that runs again: an entry that knew it as running missed
// its end and its deletion, and leads then.
Test(entry, frozen_from_before_the_end_until_after_the_deletion_runs_nothing) {
  closed_jobs_fixture fixture({.task_duration = work::duration(3000)});
  fixture.simulation.Submit(fixture.Follower(), kJob, {Step(1, 1)});
  cr_assert(fixture.Runs(kJob, work::duration(2000)));
  fixture.simulation.RunFor(work::duration(500));
  const std::uint32_t frozen = fixture.Follower();
  fixture.simulation.Freeze(frozen);
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  fixture.simulation.RunFor(kGone);
  cr_assert_eq(fixture.JobKeys(), 0U);
  // The tombstones are trimmed as well.
  fixture.simulation.store().Compact();
  fixture.simulation.Thaw(frozen);
  fixture.KillAllBut(frozen);
  fixture.simulation.RunFor(work::duration(15000));
  cr_assert_eq(fixture.Leader(), frozen);
  cr_expect_eq(fixture.JobsKnownTo(frozen), 0U);
  fixture.ExpectStarts(1);
}

// Guards against a job that runs again: an entry kept its submission while the
// caller handed it in elsewhere, and stores it after the job is deleted.
Test(submission, that_an_entry_kept_until_its_job_was_deleted_is_not_stored) {
  closed_jobs_fixture fixture;
  const std::uint32_t late = fixture.Follower();
  fixture.simulation.entry(late).cut_from_store = true;
  fixture.simulation.entry(late).cut_from_peers = true;
  const std::uint64_t call =
      fixture.simulation.Submit(late, kJob, {Step(1, 1)});
  fixture.simulation.RunFor(work::duration(100));
  fixture.simulation.GiveUp(late, call);
  fixture.simulation.Freeze(late);
  fixture.simulation.Submit(fixture.Leader(), kJob, {Step(1, 1)});
  cr_assert(fixture.Ends(kJob, work::job_phase::kCompleted));
  fixture.simulation.RunFor(kGone);
  cr_assert_eq(fixture.JobKeys(), 0U);
  fixture.simulation.entry(late).cut_from_store = false;
  fixture.simulation.entry(late).cut_from_peers = false;
  fixture.simulation.Thaw(late);
  fixture.simulation.RunFor(work::duration(10000));
  cr_expect_eq(fixture.JobKeys(), 0U);
  fixture.ExpectStarts(1);
}

// Guards against a backlog whose deletion disturbs the rest: all entries read
// what is written.
Test(deletions, of_many_closed_jobs_are_bounded) {
  constexpr std::uint32_t kJobs = 450;
  constexpr work::duration kPause{5000};
  closed_jobs_fixture fixture({.task_duration = work::duration(100)});
  fixture.CompleteMany(kJobs);
  cr_assert(fixture.simulation.RunUntil(
      [&] { return fixture.DeletedJobs() > 0; }, kGone));
  std::size_t before = 0;
  while (fixture.DeletedJobs() < kJobs) {
    const std::size_t deleted = fixture.DeletedJobs();
    cr_assert_leq(deleted - before, kMostDeletedAtOnce);
    cr_assert_gt(deleted, before);
    before = deleted;
    fixture.simulation.RunFor(kPause);
  }
  cr_expect_eq(fixture.JobKeys(), 0U);
  fixture.ExpectStarts(kJobs);
}
