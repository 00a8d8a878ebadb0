// Measures the cost of one event as the state grows, and of the largest single
// steps at the target size. Run by tools/bench; not part of CI.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <map>
#include <utility>

#include "fleet.h"
#include "scheduler/checkpoint.h"
#include "scheduler/plan.h"
#include "wire/log_codec.h"
#include "wire/peer_codec.h"
#include "wire/worker_codec.h"

namespace parsleyhitch::bench {

namespace {

constexpr std::uint32_t kTargetWorkers = 7000;
constexpr std::uint32_t kTargetTasks = 94000;
constexpr std::uint32_t kTargetWorkspaces = 130;
constexpr fleet_size kTarget{.workers = kTargetWorkers,
                             .tasks = kTargetTasks,
                             .workspaces = kTargetWorkspaces};

// Entries are expensive to build, so each size is built once.
const scheduler::entry_state& CachedEntry(const fleet_size& size) {
  static std::map<std::pair<std::uint32_t, std::uint32_t>,
                  scheduler::entry_state>
      cache;
  const std::pair key(size.workers, size.tasks);
  const auto found = cache.find(key);
  if (found != cache.end())
    return found->second;
  return cache.emplace(key, MakeEntry(size)).first->second;
}

fleet_size SizeFromArguments(const benchmark::State& state) {
  return {.workers = static_cast<std::uint32_t>(state.range(0)),
          .tasks = static_cast<std::uint32_t>(state.range(1))};
}

void UseFleetSizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->Args({50, 700})
      ->Args({500, 7000})
      ->Args({kTargetWorkers, kTargetTasks})
      ->Unit(benchmark::kMicrosecond);
}

void HeartbeatHeard(benchmark::State& state) {
  scheduler::entry_state entry = CachedEntry(SizeFromArguments(state));
  const model::peer_heard event{
      .at = entry.now,
      .message = model::heartbeat{.from = model::entry_id("entry-2"),
                                  .log_readable = true,
                                  .ready = true}};
  entry = scheduler::Reduce(Environment(), std::move(entry), event).state;
  for (auto _ : state)
    entry = scheduler::Reduce(Environment(), std::move(entry), event).state;
}
BENCHMARK(HeartbeatHeard)->Apply(UseFleetSizes);

// Handles one worker's answer when its next sync is already due.
void SyncAnswered(benchmark::State& state) {
  scheduler::entry_state entry = CachedEntry(SizeFromArguments(state));
  const model::worker_id worker = entry.workers.sync_states.begin()->first;
  const model::duration interval = Environment().limits.sync_interval;
  entry.now += 2 * interval;
  entry = scheduler::Reduce(Environment(), std::move(entry),
                            model::wake_due{.at = entry.now})
              .state;
  std::size_t syncs = 0;
  for (auto _ : state) {
    entry.now += 2 * interval;
    const std::uint64_t call = entry.workers.sync_states.Find(worker)->call;
    scheduler::step next =
        scheduler::Reduce(Environment(), std::move(entry),
                          model::worker_answered{.at = entry.now,
                                                 .worker = worker,
                                                 .call = call,
                                                 .report = {.accepted = true}});
    entry = std::move(next.state);
    for (const model::effect& effect : next.effects)
      syncs += std::holds_alternative<model::call_worker>(effect) ? 1 : 0;
  }
  state.counters["syncs"] = benchmark::Counter(
      static_cast<double>(syncs), benchmark::Counter::kAvgIterations);
}
BENCHMARK(SyncAnswered)->Apply(UseFleetSizes)->Iterations(2000);

// Applies all records of a job: submitted, placed, held, running, finished.
void JobThroughTheLog(benchmark::State& state) {
  scheduler::entry_state entry = CachedEntry(SizeFromArguments(state));
  std::uint64_t number = 0;
  for (auto _ : state) {
    const model::job_id job("bench-" + std::to_string(number++));
    const model::worker_id worker = WorkerName(0);
    const std::uint64_t offset = entry.ledger.next_offset;
    std::vector<model::record> records{
        model::job_submitted{
            .job = job,
            .spec = {.owner = model::workspace_id("team-0"),
                     .kind = "bench",
                     .capacity = {.gang_size = 1, .accelerators = 1},
                     .declared_run_time = model::duration(1000),
                     .preemptible = true}},
        model::job_placed{.job = job, .workers = {worker}}};
    const model::fence token = (offset << 16U) | 1U;
    for (const model::task_state reached :
         {model::task_state::kHeld, model::task_state::kRunning,
          model::task_state::kFinished}) {
      records.emplace_back(model::tasks_reported{
          .worker = worker,
          .tasks = {{.job = job, .token = token, .state = reached}}});
    }
    const model::logged_batch batch = NextBatch(entry, std::move(records));
    entry = ApplyBatches(std::move(entry), {batch}).state;
  }
}
BENCHMARK(JobThroughTheLog)->Apply(UseFleetSizes);

void RequestServed(benchmark::State& state) {
  scheduler::entry_state entry = CachedEntry(SizeFromArguments(state));
  const model::logged_batch batch = NextBatch(
      entry,
      {model::manifest_published{
          .proposed = {
              .version = 2,
              .base = 1,
              .workspaces = {{.id = model::workspace_id("team-0")}},
              .services = {{.id = model::service_id("s"),
                            .owner = model::workspace_id("team-0"),
                            .default_deadline = model::duration(1000)}}}}});
  entry = ApplyBatches(std::move(entry), {batch}).state;
  model::call_number call = 0;
  for (auto _ : state) {
    ++call;
    entry = scheduler::Reduce(
                Environment(), std::move(entry),
                model::request_received{.at = entry.now,
                                        .call = call,
                                        .target = model::service_id("s"),
                                        .owner = model::workspace_id("team-0"),
                                        .body = std::string(200, 'x')})
                .state;
    entry = scheduler::Reduce(
                Environment(), std::move(entry),
                model::endpoint_answered{.at = entry.now,
                                         .call = call,
                                         .attempt = 1,
                                         .status = 200,
                                         .body = std::string(200, 'y')})
                .state;
  }
}
BENCHMARK(RequestServed)->Apply(UseFleetSizes);

void PlanGangOf256(benchmark::State& state) {
  const fleet_size size{.workers = kTargetWorkers, .tasks = kTargetTasks};
  scheduler::entry_state entry = CachedEntry(size);
  const model::logged_batch batch = NextBatch(
      entry,
      {model::job_submitted{
          .job = model::job_id("gang"),
          .spec = {.owner = model::workspace_id("team-0"),
                   .kind = "gang",
                   .capacity = {.gang_size = 256,
                                .accelerators = 2,
                                .nearness = model::adjacency::kFailureDomain},
                   .declared_run_time = model::duration(3600000),
                   .preemptible = true}}});
  entry = ApplyBatches(std::move(entry), {batch}).state;
  const scheduler::plan_rules rules{
      .limits = Environment().limits,
      .leaves_guarantees = Environment().behaviour.leaves_guarantees};
  for (auto _ : state) {
    const auto records =
        scheduler::PlanPlacements(entry.ledger, entry.now, rules);
    benchmark::DoNotOptimize(records.size());
    state.counters["records"] = static_cast<double>(records.size());
  }
}
BENCHMARK(PlanGangOf256)->Unit(benchmark::kMillisecond);

// All workers of one rack are lost in one batch.
void LoseRack(benchmark::State& state) {
  const scheduler::entry_state& initial = CachedEntry(kTarget);
  std::vector<model::record> records;
  for (std::uint32_t i = 0; i < kTargetWorkers; ++i) {
    if (MakeWorkerSpec(i).rack == MakeWorkerSpec(0).rack &&
        MakeWorkerSpec(i).failure_domain == MakeWorkerSpec(0).failure_domain) {
      records.emplace_back(
          model::worker_suspected{.worker = WorkerName(i),
                                  .by = model::entry_id("entry-1"),
                                  .witnesses = 1});
    }
  }
  for (auto _ : state) {
    state.PauseTiming();
    scheduler::entry_state entry = initial;
    const model::logged_batch batch = NextBatch(entry, records);
    state.ResumeTiming();
    entry = ApplyBatches(std::move(entry), {batch}).state;
    state.PauseTiming();
    entry = {};
    state.ResumeTiming();
  }
  state.counters["workers"] = static_cast<double>(records.size());
}
BENCHMARK(LoseRack)->Unit(benchmark::kMillisecond)->Iterations(5);

void TakeCheckpoint(benchmark::State& state) {
  const scheduler::entry_state& entry = CachedEntry(kTarget);
  std::size_t bytes = 0;
  std::size_t chunks = 0;
  for (auto _ : state) {
    bytes = 0;
    const auto taken = scheduler::TakeCheckpoint(entry.ledger, Environment().me,
                                                 Environment().limits);
    chunks = taken.size();
    for (const model::checkpoint_chunk& chunk : taken)
      bytes += wire::EncodeBatch({.records = {chunk}}).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
  state.counters["chunks"] = static_cast<double>(chunks);
}
BENCHMARK(TakeCheckpoint)->Unit(benchmark::kMillisecond)->Iterations(3);

void RestoreCheckpoint(benchmark::State& state) {
  const scheduler::entry_state& entry = CachedEntry(kTarget);
  std::vector<model::checkpoint_part> parts;
  for (const model::checkpoint_chunk& chunk : scheduler::TakeCheckpoint(
           entry.ledger, Environment().me, Environment().limits)) {
    for (const model::checkpoint_part& part : chunk.parts)
      parts.push_back(part);
  }
  for (auto _ : state) {
    const model::ledger restored = scheduler::RestoreLedger(parts, 1);
    benchmark::DoNotOptimize(restored.jobs.size());
  }
}
BENCHMARK(RestoreCheckpoint)->Unit(benchmark::kMillisecond)->Iterations(3);

// Encoded sizes of the messages exchanged with one worker and one peer.
void MessageBytes(benchmark::State& state) {
  std::vector<model::task_instruction> tasks;
  std::vector<model::task_report> reports;
  for (int i = 0; i < 13; ++i) {
    const model::job_id job("entry-0-1796368873946-" +
                            std::to_string(1000 + i));
    tasks.push_back({.job = job, .token = 1U << 30U, .accelerators = 1});
    reports.push_back(
        {.job = job, .token = 1U << 30U, .state = model::task_state::kRunning});
  }
  std::size_t sync = 0;
  for (auto _ : state) {
    sync = wire::EncodeSync({.as_of = 1U << 20U, .tasks = tasks}).size();
    benchmark::DoNotOptimize(sync);
  }
  state.counters["sync"] = static_cast<double>(sync);
  state.counters["report"] = static_cast<double>(
      wire::EncodeReport({.accepted = true, .tasks = reports}).size());
  state.counters["heartbeat"] = static_cast<double>(
      wire::EncodePeerMessage(
          model::heartbeat{.from = model::entry_id("entry-0"),
                           .incarnation = 1796368873946,
                           .next_offset = 1000000})
          .size());
}
BENCHMARK(MessageBytes);

// Memory of one entry, as counted by the allocator.
void EntryMemory(benchmark::State& state) {
  const fleet_size size = SizeFromArguments(state);
  for (auto _ : state) {
    const std::size_t before = mallinfo2().uordblks;
    const scheduler::entry_state entry = MakeEntry(size);
    state.counters["MB"] =
        static_cast<double>(mallinfo2().uordblks - before) / (1024.0 * 1024.0);
  }
}
BENCHMARK(EntryMemory)
    ->Args({50, 700})
    ->Args({kTargetWorkers, 0})
    ->Args({kTargetWorkers, kTargetTasks})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace parsleyhitch::bench

BENCHMARK_MAIN();
