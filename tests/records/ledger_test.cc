// Folding of records into the ledger.

#include "records/ledger.h"

#include <criterion/criterion.h>

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "records/record_key.h"

namespace records = parsleyhitch::records;
namespace work = parsleyhitch::work;

namespace {

const work::job_id kJob("00000000000000a1");
const work::queue_id kQueue("queue");
const work::queue_id kOtherQueue("other");

work::job_submitted Submitted(const char* spec = "first") {
  return {.content = {.job = kJob,
                      .queue = kQueue,
                      .request = {.spec = spec, .steps = {{.tasks = 1}}}}};
}

struct ledger_fixture {
  records::ledger ledger;
  std::uint64_t last_offset = 0;

  void Fold(std::uint64_t offset, const work::record& record) {
    ledger = records::Fold(std::move(ledger), offset, record);
  }

  // Folds a record of one of a few jobs, or the deletion of one, at one of the
  // latest offsets.
  template <typename Draw>
  void FoldRandom(Draw draw) {
    const work::job_id job(std::to_string(draw(8)));
    last_offset += 1;
    const std::uint64_t offset = last_offset + draw(6);
    switch (draw(6)) {
      case 0:
      case 1:
        Fold(offset,
             work::job_submitted{
                 .content = {.job = job,
                             .queue = draw(2) == 0 ? kQueue : kOtherQueue}});
        return;
      case 2:
        Fold(offset, work::job_cancelled{.job = job});
        return;
      case 3:
        ledger = records::FoldDeletion(std::move(ledger), offset, job);
        return;
      default:
        Fold(offset,
             work::job_progressed{
                 .job = job, .phase = static_cast<work::job_phase>(draw(5))});
        return;
    }
  }

  // Reads the newest records again, among which nothing is left of the jobs.
  void ReadSnapshot() {
    ledger = records::EndSnapshot(records::BeginSnapshot(std::move(ledger)));
  }

  std::uint64_t WaitingJobs(const work::queue_id& queue) const {
    std::uint64_t waiting = 0;
    for (const auto& [id, job] : ledger.jobs) {
      const work::submission* content = job.content.Get();
      const bool waits = content != nullptr && content->queue == queue &&
                         records::PhaseOf(job) == work::job_phase::kQueued;
      waiting += waits ? 1 : 0;
    }
    return waiting;
  }

  work::job_phase Phase() const {
    return records::PhaseOf(*records::FindJob(ledger, kJob));
  }
};

}  // namespace

Test(ledger, job_submitted_twice_keeps_the_first_submission) {
  ledger_fixture fixture;
  fixture.Fold(1, Submitted("first"));
  fixture.Fold(2, Submitted("second"));
  const records::stored_job* job = records::FindJob(fixture.ledger, kJob);
  cr_assert_eq(job->content.Get()->request.spec, "first");
  cr_assert_eq(job->accepted, 1U);
}

Test(ledger, cancellation_read_before_its_submission_is_kept) {
  ledger_fixture fixture;
  fixture.Fold(2, work::job_cancelled{.job = kJob});
  cr_assert_null(records::FindJob(fixture.ledger, kJob));
  fixture.Fold(1, Submitted());
  cr_assert(fixture.Phase() == work::job_phase::kCancelled);
}

Test(ledger, progress_older_than_the_folded_one_changes_nothing) {
  ledger_fixture fixture;
  fixture.Fold(1, Submitted());
  fixture.Fold(5, work::job_progressed{.job = kJob,
                                       .phase = work::job_phase::kCompleted});
  fixture.Fold(
      3, work::job_progressed{.job = kJob, .phase = work::job_phase::kRunning});
  cr_assert(fixture.Phase() == work::job_phase::kCompleted);
}

Test(ledger, completed_job_cancelled_afterwards_stays_completed) {
  ledger_fixture fixture;
  fixture.Fold(1, Submitted());
  fixture.Fold(2, work::job_progressed{.job = kJob,
                                       .phase = work::job_phase::kCompleted});
  fixture.Fold(3, work::job_cancelled{.job = kJob});
  cr_assert(fixture.Phase() == work::job_phase::kCompleted);
}

Test(ledger, job_cancelled_before_it_completed_stays_cancelled) {
  ledger_fixture fixture;
  fixture.Fold(1, Submitted());
  fixture.Fold(2, work::job_cancelled{.job = kJob});
  cr_assert(fixture.Phase() == work::job_phase::kCancelled);
  fixture.Fold(3, work::job_progressed{.job = kJob,
                                       .phase = work::job_phase::kCompleted});
  cr_assert(fixture.Phase() == work::job_phase::kCancelled);
}

Test(ledger, end_and_cancellation_read_in_either_order_give_the_same_phase) {
  ledger_fixture fixture;
  fixture.Fold(1, Submitted());
  fixture.Fold(4, work::job_progressed{.job = kJob,
                                       .phase = work::job_phase::kCompleted});
  fixture.Fold(3, work::job_cancelled{.job = kJob});
  fixture.Fold(5, work::job_cancelled{.job = kJob});
  cr_assert(fixture.Phase() == work::job_phase::kCancelled);
}

Test(ledger, queue_with_one_job_waiting_and_one_running_counts_one) {
  ledger_fixture fixture;
  fixture.Fold(1, Submitted());
  const work::job_id other("00000000000000b2");
  fixture.Fold(2,
               work::job_submitted{.content = {.job = other, .queue = kQueue}});
  fixture.Fold(3, work::job_progressed{.job = other,
                                       .phase = work::job_phase::kRunning});
  cr_assert_eq(records::CountWaiting(fixture.ledger, kQueue), 1U);
}

// Guards against a count that drifts from the jobs, whatever the order in which
// their records are read.
Test(ledger, folding_records_in_any_order_counts_the_jobs_that_wait) {
  constexpr int kRecords = 20000;
  std::mt19937 random(42);
  const auto draw = [&](std::uint32_t below) {
    return static_cast<std::uint32_t>(random() % below);
  };
  ledger_fixture fixture;
  for (int i = 0; i < kRecords; ++i) {
    fixture.FoldRandom(draw);
    if (draw(500) == 0)
      fixture.ReadSnapshot();
    for (const work::queue_id& queue : {kQueue, kOtherQueue}) {
      cr_assert_eq(records::CountWaiting(fixture.ledger, queue),
                   fixture.WaitingJobs(queue));
    }
  }
}

Test(ledger, leader_of_a_lower_epoch_changes_nothing) {
  ledger_fixture fixture;
  fixture.Fold(1,
               work::leader_elected{.entry = work::entry_id("b"), .epoch = 3});
  fixture.Fold(2,
               work::leader_elected{.entry = work::entry_id("a"), .epoch = 2});
  cr_assert_eq(fixture.ledger.leader.value(), "b");
  cr_assert_eq(fixture.ledger.epoch, 3U);
}

Test(ledger, leader_that_joined_again_after_its_election_has_restarted) {
  ledger_fixture fixture;
  const work::entry_id leader("a");
  fixture.Fold(1, work::member_joined{.entry = leader, .incarnation = 1});
  fixture.Fold(2, work::leader_elected{.entry = leader, .epoch = 1});
  cr_assert_not(records::HasLeaderRestarted(fixture.ledger));
  fixture.Fold(3, work::member_joined{.entry = leader, .incarnation = 2});
  cr_assert(records::HasLeaderRestarted(fixture.ledger));
}

Test(record_key, of_submission_cancellation_and_progress_differ) {
  const std::string submitted = records::KeyOf(Submitted());
  const std::string cancelled =
      records::KeyOf(work::job_cancelled{.job = kJob});
  const std::string progress =
      records::KeyOf(work::job_progressed{.job = kJob});
  cr_assert_neq(submitted, cancelled);
  cr_assert_neq(submitted, progress);
  cr_assert_neq(cancelled, progress);
}

namespace {

work::job_progressed Completed() {
  return {.job = kJob, .phase = work::job_phase::kCompleted};
}

// A job that was submitted and completed, and whose records are then deleted.
struct closed_job_fixture : ledger_fixture {
  closed_job_fixture() {
    Fold(1, Submitted());
    Fold(2, Completed());
  }

  bool IsKnown() const { return ledger.jobs.Contains(kJob); }
};

}  // namespace

// Guards against entries that run out of memory over a backlog of closed jobs:
// most of what a job takes is its content.
Test(ledger, closed_job_keeps_its_owner_and_needs_and_not_its_content) {
  const work::resources need{.cpu_millis = 500, .memory_mb = 64};
  const work::job_submitted submitted{
      .content = {.job = kJob,
                  .owner = work::workspace_id("team"),
                  .request = {.steps = {{.tasks = 1, .need = need}}}}};
  const std::vector<work::record> records = {submitted, Completed()};
  for (const bool in_order : {true, false}) {
    ledger_fixture fixture;
    fixture.Fold(in_order ? 1 : 2, records[in_order ? 0 : 1]);
    fixture.Fold(in_order ? 2 : 1, records[in_order ? 1 : 0]);
    const records::stored_job* job = records::FindJob(fixture.ledger, kJob);
    cr_assert_not_null(job);
    cr_expect_null(job->content.Get());
    cr_expect_eq(records::OwnerOf(*job).value(), "team");
    cr_expect(records::NeedOf(*job, 0) == need);
    cr_expect(records::NeedOf(*job, 1) == work::resources());
    cr_expect(fixture.Phase() == work::job_phase::kCompleted);
  }
}

// Guards against a deleted job that is taken for queued: its phase must be the
// last that is deleted.
Test(ledger, job_of_which_only_the_phase_is_left_to_delete_is_still_closed) {
  closed_job_fixture fixture;
  for (const work::job_part part :
       {work::job_part::kSubmission, work::job_part::kCancellation}) {
    const work::record deleted = work::job_deleted{.job = kJob, .part = part};
    cr_assert(records::IsDeletion(deleted));
    cr_assert_not(records::JobDeletedBy(records::KeyOf(deleted)));
  }
  cr_assert(fixture.Phase() == work::job_phase::kCompleted);
  const auto last = records::JobDeletedBy(records::KeyOf(
      work::job_deleted{.job = kJob, .part = work::job_part::kPhase}));
  cr_assert(last && *last == kJob);
  fixture.ledger = records::FoldDeletion(std::move(fixture.ledger), 5, *last);
  cr_assert_not(fixture.IsKnown());
}

// Guards against deletions that delete nothing.
Test(record_key, of_each_part_of_a_deleted_job_is_that_of_its_record) {
  const auto key = [](work::job_part part) {
    return records::KeyOf(work::job_deleted{.job = kJob, .part = part});
  };
  cr_assert_eq(key(work::job_part::kSubmission), records::KeyOf(Submitted()));
  cr_assert_eq(key(work::job_part::kCancellation),
               records::KeyOf(work::job_cancelled{.job = kJob}));
  cr_assert_eq(key(work::job_part::kPhase), records::KeyOf(Completed()));
}

// Guards against an accepted job that is lost: its caller used the ID again.
Test(ledger, job_submitted_again_after_its_deletion_is_kept) {
  ledger_fixture fixture;
  fixture.Fold(7, Submitted());
  fixture.ledger = records::FoldDeletion(std::move(fixture.ledger), 5, kJob);
  cr_assert_not_null(records::FindJob(fixture.ledger, kJob));
}

// Guards against a job that is run again by an entry that missed its end and
// its deletion.
Test(ledger, job_that_a_later_snapshot_does_not_show_is_unknown_after_it) {
  ledger_fixture fixture;
  const work::job_id other("00000000000000b2");
  fixture.Fold(1, Submitted());
  fixture.Fold(2, work::job_submitted{.content = {.job = other}});
  fixture.ledger = records::BeginSnapshot(std::move(fixture.ledger));
  fixture.Fold(2, work::job_submitted{.content = {.job = other}});
  cr_assert_not_null(records::FindJob(fixture.ledger, kJob));
  fixture.ledger = records::EndSnapshot(std::move(fixture.ledger));
  cr_expect_null(records::FindJob(fixture.ledger, kJob));
  cr_expect_not_null(records::FindJob(fixture.ledger, other));
}

// Guards against a state that is told for less than its time: it counts from
// the first record of the end that was read, however often it is read.
Test(ledger, job_that_is_closed_counts_its_time_from_the_first_such_record) {
  ledger_fixture fixture;
  const auto fold = [&](std::uint64_t offset, const work::record& record,
                        std::int64_t at) {
    fixture.ledger = records::Fold(std::move(fixture.ledger), offset, record,
                                   work::timestamp(work::duration(at)));
  };
  fold(1, Submitted(), 1000);
  cr_assert_not(records::MayBeDeleted(*records::FindJob(fixture.ledger, kJob)));
  fold(2, Completed(), 2000);
  fold(2, Completed(), 3000);
  const records::stored_job* job = records::FindJob(fixture.ledger, kJob);
  cr_expect(records::MayBeDeleted(*job));
  cr_expect(job->since == work::timestamp(work::duration(2000)));
}
