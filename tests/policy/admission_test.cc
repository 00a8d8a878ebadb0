// Refusals under a backlog that takes far longer than callers wait for.

#include "policy/admission.h"

#include <criterion/criterion.h>

#include <string>

namespace policy = parsleyhitch::policy;
namespace work = parsleyhitch::work;
using policy::duration;

namespace {

const work::service_id kService("pool");
constexpr std::uint32_t kUrgent = 0;
constexpr std::uint32_t kFirm = 1;

work::resources Accelerators(std::int64_t count) {
  return {.cpu_millis = count * 1000, .accelerators = count};
}

// A service of 10 accelerators, all in use.
struct backlog_fixture {
  std::map<work::service_id, policy::service_capacity> services{
      {kService, {.all = Accelerators(10)}}};
  std::vector<policy::queued_work> queued;

  void Queue(const std::string& owner,
             std::uint32_t count,
             std::uint32_t priority = kFirm) {
    for (std::uint32_t i = 0; i < count; ++i) {
      queued.push_back(
          {.account = {.service = kService, .owner = work::workspace_id(owner)},
           .priority = priority,
           .need = Accelerators(1),
           .run_time = duration(10000),
           .waiting = true});
    }
  }

  std::int64_t WaitOf(const std::string& owner,
                      std::uint32_t priority = kFirm) const {
    for (const auto& each : policy::ExpectedWaits(queued, services)) {
      if (each.owner.value() == owner && each.priority == priority)
        return each.wait.count();
    }
    return 0;
  }

  // Of a job with one task of 10 s and an objective of 21 s, of use to its
  // caller until 63 s.
  policy::admission Admit(const std::string& owner,
                          std::uint32_t priority = kFirm,
                          std::int64_t accelerators = 1) const {
    return policy::Admit(
        {.service = kService,
         .owner = work::workspace_id(owner),
         .priority = priority,
         .stretch_permille = 2000,
         .target_latency = duration(1000),
         .request = {.spec = "",
                     .steps = {{.tasks = 1,
                                .need = Accelerators(accelerators),
                                .estimate = duration(10000)}}}},
        policy::ExpectedWaits(queued, services));
  }
};

}  // namespace

Test(expected_wait, of_the_only_workspace_is_the_time_for_all_its_work) {
  backlog_fixture fixture;
  fixture.Queue("a", 50);
  cr_assert_eq(fixture.WaitOf("a"), 50000);
}

// Guards against refusals of a workspace for the backlog of another one.
Test(expected_wait, of_a_small_backlog_does_not_count_what_is_served_later) {
  backlog_fixture fixture;
  fixture.Queue("a", 100);
  fixture.Queue("b", 5);
  cr_assert_eq(fixture.WaitOf("a"), 105000);
  cr_assert_eq(fixture.WaitOf("b"), 10000);
}

Test(expected_wait, counts_more_important_work_in_full) {
  backlog_fixture fixture;
  fixture.Queue("a", 30, kUrgent);
  fixture.Queue("b", 10, kFirm);
  cr_assert_eq(fixture.WaitOf("b", kFirm), 40000);
  cr_assert_eq(fixture.WaitOf("a", kUrgent), 30000);
}

Test(expected_wait, is_not_known_of_workspaces_whose_work_all_runs) {
  backlog_fixture fixture;
  fixture.Queue("a", 50);
  for (policy::queued_work& each : fixture.queued)
    each.waiting = false;
  cr_assert(policy::ExpectedWaits(fixture.queued, fixture.services).empty());
}

// Guards against heartbeats that grow with the number of workspaces.
Test(expected_wait, is_told_of_the_longest_ones_only) {
  backlog_fixture fixture;
  for (int i = 0; i < 100; ++i)
    fixture.Queue("w" + std::to_string(i), 3);
  fixture.Queue("last", 20);
  const auto waits = policy::ExpectedWaits(fixture.queued, fixture.services);
  cr_assert_eq(waits.size(), 64U);
  cr_assert_eq(waits.front().owner.value(), std::string("last"));
}

// Guards against refusals of work that would still have been of use.
Test(admission, of_a_job_that_ends_within_three_objectives_is_granted) {
  backlog_fixture fixture;
  fixture.Queue("a", 100);
  cr_assert(fixture.Admit("a").accepted);
}

// Guards against callers that wait for a result which is of no use any more.
Test(admission, of_a_job_that_ends_far_too_late_is_refused) {
  backlog_fixture fixture;
  fixture.Queue("a", 120);
  const policy::admission decided = fixture.Admit("a");
  cr_assert_not(decided.accepted);
  cr_assert_eq(decided.retry_after.count(), 14000);
}

Test(admission, of_a_workspace_without_backlog_is_granted) {
  backlog_fixture fixture;
  fixture.Queue("a", 1000);
  fixture.Queue("b", 2);
  cr_assert(fixture.Admit("b").accepted);
  cr_assert(fixture.Admit("c").accepted);
}

// Guards against refusals while workers are free for the job.
Test(admission, of_a_job_that_may_fit_the_free_capacity_is_granted) {
  backlog_fixture fixture;
  fixture.Queue("a", 1000);
  fixture.services[kService].free = Accelerators(4);
  fixture.services[kService].largest_free = Accelerators(2);
  cr_assert(fixture.Admit("a", kFirm, 2).accepted);
  cr_assert_not(fixture.Admit("a", kFirm, 3).accepted);
}

Test(admission, of_an_urgent_job_does_not_depend_on_less_important_work) {
  backlog_fixture fixture;
  fixture.Queue("a", 1000, kFirm);
  cr_assert(fixture.Admit("a", kUrgent).accepted);
}

Test(admission, while_no_wait_is_known_is_granted) {
  const backlog_fixture fixture;
  cr_assert(fixture.Admit("a").accepted);
}
