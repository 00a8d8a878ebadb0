// Tests of checkpoints.

#include "scheduler/checkpoint.h"

#include <criterion/criterion.h>

#include "support/ledger_fixture.h"

using parsleyhitch::test::ledger_fixture;
namespace model = parsleyhitch::model;
namespace scheduler = parsleyhitch::scheduler;

namespace {

// A ledger with a claimed guarantee, jobs in several phases, a run-time
// estimate and a request claim.
struct full_ledger : ledger_fixture {
  full_ledger() {
    Submit("wear", Spec("coop", RackShape()));
    Place("wear", ReservedWorkers());
    ReportAll("wear", model::task_state::kHeld);
    Submit("done", Spec("laundry", {.gang_size = 1, .accelerators = 8}, true));
    Place("done", {ReservedWorkers().front() < 4 ? 4 : 0});
    ReportAll("done", model::task_state::kRunning);
    ReportAll("done", model::task_state::kFinished);
    Submit("waits", Spec("laundry", {.gang_size = 1, .accelerators = 1}));
    Fold(model::request_claimed{.owner = model::workspace_id("coop"),
                                .key = model::idempotency_key("k"),
                                .by = model::entry_id("e"),
                                .incarnation = 1});
  }

  std::vector<model::checkpoint_chunk> Chunks() const {
    model::limits small{.checkpoint_chunk_parts = 3};
    return scheduler::TakeCheckpoint(step.ledger, model::entry_id("e"), small);
  }
};

}  // namespace

Test(checkpoint, restore_of_all_chunks_gives_an_equal_ledger) {
  const full_ledger fixture;
  scheduler::checkpoint_collector collector;
  std::optional<model::ledger> restored;
  for (const model::checkpoint_chunk& chunk : fixture.Chunks()) {
    scheduler::collect_result next =
        scheduler::CollectChunk(std::move(collector), chunk);
    collector = std::move(next.collector);
    restored = std::move(next.restored);
  }
  cr_assert(restored.has_value());
  cr_assert(*restored == fixture.step.ledger);
}

Test(checkpoint, collect_with_a_chunk_missing_restores_nothing) {
  const full_ledger fixture;
  scheduler::checkpoint_collector collector;
  std::vector<model::checkpoint_chunk> chunks = fixture.Chunks();
  cr_assert_gt(chunks.size(), 2);
  chunks.pop_back();
  for (const model::checkpoint_chunk& chunk : chunks) {
    scheduler::collect_result next =
        scheduler::CollectChunk(std::move(collector), chunk);
    collector = std::move(next.collector);
    cr_assert_not(next.restored.has_value());
  }
}
