// Fixture: a simulated platform into which faults are injected, each for a
// while.

#ifndef PARSLEYHITCH_TESTS_DISPATCH_FAULT_FIXTURE_H_
#define PARSLEYHITCH_TESTS_DISPATCH_FAULT_FIXTURE_H_

#include <cstdint>
#include <ostream>

#include "dispatch/simulation_fixture.h"

namespace parsleyhitch::tests {

enum class fault_kind : std::uint8_t {
  kKillEntry,
  kFreezeEntry,
  kCutEntryFromStore,
  kCutEntryFromPeers,
  kCutEntryFromWorkers,
  kStoreDown,
  kLoseAppendAnswers,
  kCompactStore,
  kCutWorker,
  kRestartWorker,
  kLoseOrderAnswers,
  kFailingWorker,
  kOlderCount,
  // Kinds from here on are drawn by the property of newer failures only.
  kLateStarts = kOlderCount,
  kLateStops,
  kLateHolds,
  kLoseStopAnswers,
  kLoseHoldAnswers,
  kRefusesStarts,
  kHasNoRoom,
  kReplaceWorker,
  kCutAndReplaceWorker,
  kCutAndRestartWorker,
  kDrainWorker,
  kRestartWithEarlierLife,
  kCount,
};

struct injected_fault {
  fault_kind kind;
  std::int64_t at;
  std::int64_t duration;
  std::uint32_t target;
};

inline std::ostream& operator<<(std::ostream& out, const injected_fault& each) {
  return out << "{kind " << static_cast<int>(each.kind) << " at " << each.at
             << " for " << each.duration << " on " << each.target << "}";
}

// How many orders a fault of the newer kinds affects.
inline constexpr std::uint32_t kAffectedOrders = 3;

// With every second seed the leader forwards the orders to most of its workers.
inline constexpr std::uint32_t kForwardingWorkersPerCore = 2;
inline constexpr std::uint32_t kNoForwarding = 1000000;

struct fault_fixture : simulation_fixture {
  explicit fault_fixture(std::uint64_t seed)
      : fault_fixture(simulation_options{.seed = seed}) {}

  // The options' `workers_per_core` is derived from the seed.
  explicit fault_fixture(simulation_options options)
      : simulation_fixture(WithProxies(options)),
        spare_workers_(options.spare_workers) {}

  void Inject(const injected_fault& each) {
    const std::uint32_t entry = each.target % 3;
    simulated_worker& worker = simulation.worker(each.target % TargetWorkers());
    switch (each.kind) {
      case fault_kind::kKillEntry:
        simulation.Kill(entry);
        break;
      case fault_kind::kFreezeEntry:
        simulation.Freeze(entry);
        break;
      case fault_kind::kCutEntryFromStore:
        simulation.entry(entry).cut_from_store = true;
        break;
      case fault_kind::kCutEntryFromPeers:
        simulation.entry(entry).cut_from_peers = true;
        break;
      case fault_kind::kCutEntryFromWorkers:
        simulation.entry(entry).cut_from_workers = true;
        break;
      case fault_kind::kStoreDown:
        simulation.store().down = true;
        break;
      case fault_kind::kLoseAppendAnswers:
        simulation.store().lose_answers += 3;
        break;
      case fault_kind::kCompactStore:
        simulation.store().Compact();
        break;
      case fault_kind::kCutWorker:
        worker.cut = true;
        break;
      case fault_kind::kRestartWorker:
        worker.Restart(simulation.now());
        break;
      case fault_kind::kLoseOrderAnswers:
        worker.lose_order_answers += 2;
        break;
      case fault_kind::kFailingWorker:
        worker.fails_all_tasks = true;
        break;
      case fault_kind::kLateStarts:
        worker.late_by = LateBy(each);
        worker.late_starts += kAffectedOrders;
        break;
      case fault_kind::kLateStops:
        worker.late_by = LateBy(each);
        worker.late_stops += kAffectedOrders;
        break;
      case fault_kind::kLateHolds:
        worker.late_by = LateBy(each);
        worker.late_holds += kAffectedOrders;
        break;
      case fault_kind::kLoseStopAnswers:
        worker.late_by = work::duration(0);
        worker.late_stops += kAffectedOrders;
        break;
      case fault_kind::kLoseHoldAnswers:
        worker.late_by = work::duration(0);
        worker.late_holds += kAffectedOrders;
        break;
      case fault_kind::kRefusesStarts:
        worker.refuses_starts_with = work::order_outcome::kRefused;
        break;
      case fault_kind::kHasNoRoom:
        worker.refuses_starts_with = work::order_outcome::kNoRoom;
        break;
      case fault_kind::kReplaceWorker:
        worker.Replace(simulation.now());
        break;
      case fault_kind::kCutAndReplaceWorker:
        worker.cut = true;
        worker.Replace(simulation.now());
        break;
      case fault_kind::kCutAndRestartWorker:
        worker.cut = true;
        worker.Crash();
        break;
      case fault_kind::kDrainWorker:
        simulation.Drain(each.target % TargetWorkers(),
                         work::duration(each.duration));
        break;
      case fault_kind::kRestartWithEarlierLife:
        worker.RestartWithEarlierLife(simulation.now());
        break;
      case fault_kind::kCount:
        break;
    }
  }

  void Repair(const injected_fault& each) {
    const std::uint32_t entry = each.target % 3;
    simulated_worker& worker = simulation.worker(each.target % TargetWorkers());
    if (!simulation.entry(entry).alive && each.kind == fault_kind::kKillEntry)
      simulation.Start(entry);
    if (each.kind == fault_kind::kFreezeEntry)
      simulation.Thaw(entry);
    if (each.kind == fault_kind::kCutEntryFromStore)
      simulation.entry(entry).cut_from_store = false;
    if (each.kind == fault_kind::kCutEntryFromPeers)
      simulation.entry(entry).cut_from_peers = false;
    if (each.kind == fault_kind::kCutEntryFromWorkers)
      simulation.entry(entry).cut_from_workers = false;
    if (each.kind == fault_kind::kStoreDown)
      simulation.store().down = false;
    if (each.kind == fault_kind::kCutWorker)
      worker.cut = false;
    if (each.kind == fault_kind::kFailingWorker)
      worker.fails_all_tasks = false;
    RepairNewer(each, worker);
  }

  // Ends what faults left behind, such as orders still to be delayed.
  void RepairAll() {
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      simulated_worker& each = simulation.worker(i);
      each.late_starts = 0;
      each.late_stops = 0;
      each.late_holds = 0;
      each.lose_order_answers = 0;
      each.cut_from_store = each.replaced;
    }
  }

  // The number of workers that faults are injected into.
  std::uint32_t TargetWorkers() const {
    return simulation.worker_count() - spare_workers_;
  }

 private:
  static simulation_options WithProxies(simulation_options options) {
    options.workers_per_core =
        options.seed % 2 == 0 ? kForwardingWorkersPerCore : kNoForwarding;
    return options;
  }

  // Between 2 and 12 s, by the fault.
  static work::duration LateBy(const injected_fault& each) {
    return work::duration(2000 + each.duration * 7 % 10001);
  }

  void RepairNewer(const injected_fault& each, simulated_worker& worker) {
    switch (each.kind) {
      case fault_kind::kRefusesStarts:
      case fault_kind::kHasNoRoom:
        worker.refuses_starts_with.reset();
        break;
      case fault_kind::kReplaceWorker:
      case fault_kind::kCutAndReplaceWorker:
        worker.cut = false;
        // Unless it has restarted under its own ID since.
        worker.cut_from_store = worker.replaced;
        StartSpareWorker();
        break;
      case fault_kind::kCutAndRestartWorker:
        worker.cut = false;
        worker.Restart(simulation.now());
        break;
      case fault_kind::kDrainWorker:
        worker.draining = false;
        worker.leaves_at.reset();
        worker.Restart(simulation.now());
        break;
      default:
        break;
    }
  }

  // Stands in for a worker that has gone, under an ID of its own.
  void StartSpareWorker() {
    for (std::uint32_t i = TargetWorkers(); i < simulation.worker_count();
         ++i) {
      if (simulation.worker(i).alive)
        continue;
      simulation.worker(i).Restart(simulation.now());
      return;
    }
  }

  std::uint32_t spare_workers_ = 0;
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_DISPATCH_FAULT_FIXTURE_H_
