// Tests of the in-memory worker that the simulation and the stand-in processes
// share: leases and fencing.

#include "replay/fake_worker.h"

#include <criterion/criterion.h>

namespace model = parsleyhitch::model;
namespace replay = parsleyhitch::replay;

namespace {

constexpr model::duration kLease{1000};
constexpr model::duration kRunTime{5000};

struct worker_fixture {
  replay::fake_worker worker{.accelerators = 8};
  model::timestamp now{model::duration(10000)};

  model::worker_report Send(std::uint64_t as_of,
                            std::vector<model::task_instruction> tasks) {
    replay::fake_sync_result result = replay::Sync(
        std::move(worker),
        {.as_of = as_of, .lease = kLease, .tasks = std::move(tasks)}, now,
        [](const auto&) { return kRunTime; });
    worker = std::move(result.worker);
    return result.report;
  }

  static model::task_instruction Instruction(model::task_order order) {
    return {.job = model::job_id("j"),
            .token = 7,
            .accelerators = 8,
            .order = order};
  }
};

}  // namespace

Test(fake_worker, sync_older_than_one_seen_is_rejected) {
  worker_fixture fixture;
  fixture.Send(5, {worker_fixture::Instruction(model::task_order::kHold)});
  cr_assert_not(fixture.Send(4, {}).accepted);
  cr_assert_eq(fixture.worker.tasks.size(), 1);
}

Test(fake_worker, run_without_a_hold_reports_stopped) {
  worker_fixture fixture;
  const auto report =
      fixture.Send(1, {worker_fixture::Instruction(model::task_order::kRun)});
  cr_assert(report.tasks.front().state == model::task_state::kStopped);
}

Test(fake_worker, hold_whose_lease_expired_is_not_run) {
  worker_fixture fixture;
  fixture.Send(1, {worker_fixture::Instruction(model::task_order::kHold)});
  fixture.now += kLease + model::duration(1);
  const auto report =
      fixture.Send(1, {worker_fixture::Instruction(model::task_order::kRun)});
  cr_assert(report.tasks.front().state == model::task_state::kStopped);
}

Test(fake_worker, task_not_listed_is_stopped) {
  worker_fixture fixture;
  fixture.Send(1, {worker_fixture::Instruction(model::task_order::kHold)});
  fixture.Send(2, {});
  cr_assert(fixture.worker.tasks.empty());
}

Test(fake_worker, hold_beyond_its_accelerators_is_refused) {
  worker_fixture fixture;
  fixture.Send(1, {worker_fixture::Instruction(model::task_order::kHold)});
  const auto report =
      fixture.Send(2, {worker_fixture::Instruction(model::task_order::kHold),
                       {.job = model::job_id("k"),
                        .token = 8,
                        .accelerators = 1,
                        .order = model::task_order::kHold}});
  cr_assert(report.tasks.back().state == model::task_state::kRefused);
}
