// A fixture that builds a scheduler ledger by folding records one by one.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_LEDGER_FIXTURE_H_
#define PARSLEYHITCH_TESTS_SUPPORT_LEDGER_FIXTURE_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scheduler/fold.h"

namespace parsleyhitch::test {

// The initial ledger has workers "w0".."w3" on "rack-0" and "w4".."w7" on
// "rack-1", each with 8 accelerators and 8 slots. Workspace "coop" has a
// guarantee of 4 workers with 8 accelerators each on one rack; workspace
// "laundry" has a quota of 40 accelerators.
struct ledger_fixture {
  model::limits limits;
  scheduler::hooks hooks = scheduler::DefaultHooks();
  scheduler::fold_step step;
  std::uint64_t sequence = 0;
  model::timestamp now{model::duration(1000000)};

  ledger_fixture() {
    for (int i = 0; i < 8; ++i)
      Fold(model::worker_registered{.spec = Worker(i)});
    Fold(model::manifest_published{.proposed = Manifest()});
  }

  static model::worker_id WorkerId(int number) {
    return model::worker_id("w" + std::to_string(number));
  }

  static model::worker_spec Worker(int number) {
    return {.worker = WorkerId(number),
            .address = "10.0.0.1:80",
            .failure_domain = model::failure_domain_id("fd"),
            .rack = model::rack_id(number < 4 ? "rack-0" : "rack-1"),
            .accelerators = 8,
            .slots = 8};
  }

  // The shape that the guarantee covers.
  static model::shape RackShape() {
    return {
        .gang_size = 4, .accelerators = 8, .nearness = model::adjacency::kRack};
  }

  static model::manifest Manifest() {
    return {
        .version = 1,
        .base = 0,
        .workspaces = {
            {.id = model::workspace_id("coop"),
             .guarantees = {{.name = "wear", .capacity = RackShape()}}},
            {.id = model::workspace_id("laundry"), .quota_accelerators = 40}}};
  }

  static model::job_spec Spec(const std::string& owner,
                              const model::shape& shape,
                              bool preemptible = false) {
    return {.owner = model::workspace_id(owner),
            .kind = "kind",
            .capacity = shape,
            .declared_run_time = model::duration(1000),
            .preemptible = preemptible};
  }

  // Folds one record. Returns true if it was accepted.
  bool Fold(model::record record) {
    now += model::duration(1);
    const model::logged_batch batch{
        .offset = step.ledger.next_offset,
        .content = {.by = model::entry_id("e"),
                    .incarnation = 1,
                    .sequence = ++sequence,
                    .at = now,
                    .records = {std::move(record)}}};
    step = scheduler::FoldBatch(
        {.behaviour = hooks, .limits = limits},
        {.ledger = std::move(step.ledger), .changes = {}}, batch);
    for (const scheduler::change& change : step.changes) {
      if (const auto* verdict = std::get_if<scheduler::record_verdict>(&change))
        return verdict->accepted;
    }
    return false;
  }

  bool Submit(const std::string& job, const model::job_spec& spec) {
    return Fold(model::job_submitted{.job = model::job_id(job), .spec = spec});
  }

  bool Place(const std::string& job, const std::vector<int>& numbers) {
    std::vector<model::worker_id> workers;
    for (const int number : numbers)
      workers.push_back(WorkerId(number));
    return Fold(
        model::job_placed{.job = model::job_id(job), .workers = workers});
  }

  // Reports the job's task on one worker as being in this state.
  void Report(const std::string& job, int number, model::task_state state) {
    const model::fence token = FindPlacement(job)->token;
    Fold(model::tasks_reported{
        .worker = WorkerId(number),
        .tasks = {
            {.job = model::job_id(job), .token = token, .state = state}}});
  }

  // Reports the tasks of all the job's members as being in this state.
  void ReportAll(const std::string& job, model::task_state state) {
    const std::vector<model::member> members = FindPlacement(job)->members;
    const model::fence token = FindPlacement(job)->token;
    for (const model::member& member : members) {
      Fold(model::tasks_reported{
          .worker = member.worker,
          .tasks = {
              {.job = model::job_id(job), .token = token, .state = state}}});
    }
  }

  const model::placement* FindPlacement(const std::string& job) const {
    return step.ledger.placements.Find(model::job_id(job));
  }

  model::job_phase Phase(const std::string& job) const {
    return step.ledger.jobs.Find(model::job_id(job))->phase;
  }

  const model::guarantee_status& Guarantee() const {
    return *step.ledger.guarantees.Find(
        {.owner = model::workspace_id("coop"), .name = "wear"});
  }

  // The numbers of the workers that the guarantee reserves.
  std::vector<int> ReservedWorkers() const {
    std::vector<int> numbers;
    for (const model::worker_id& worker : Guarantee().workers)
      numbers.push_back(std::stoi(worker.value().substr(1)));
    return numbers;
  }
};

}  // namespace parsleyhitch::test

#endif  // PARSLEYHITCH_TESTS_SUPPORT_LEDGER_FIXTURE_H_
