// Folding of records into the ledger.

#include "records/ledger.h"

#include <criterion/criterion.h>

#include <utility>

#include "records/record_key.h"

namespace records = parsleyhitch::records;
namespace work = parsleyhitch::work;

namespace {

const work::job_id kJob("00000000000000a1");
const work::queue_id kQueue("queue");

work::job_submitted Submitted(const char* spec = "first") {
  return {.content = {.job = kJob,
                      .queue = kQueue,
                      .request = {.spec = spec, .steps = {{.tasks = 1}}}}};
}

struct ledger_fixture {
  records::ledger ledger;

  void Fold(std::uint64_t offset, const work::record& record) {
    ledger = records::Fold(std::move(ledger), offset, record);
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
