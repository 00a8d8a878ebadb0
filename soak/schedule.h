// The fault schedule of one soak run, generated from a seed.

#ifndef PARSLEYHITCH_SOAK_SCHEDULE_H_
#define PARSLEYHITCH_SOAK_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace parsleyhitch::soak {

enum class fault_kind : std::uint8_t {
  kKillEntry,
  kFreezeEntry,
  kStopEntry,  // graceful stop, then restart
  kStoreDown,
  kLoseAppendAnswers,
  kCompactStore,
  kCutWorker,
  kFailingWorker,
  kRestartWorker,
  kDelayLink,
  kResetLink,
  kSilenceLink,
  kOneWayLink,
  kStoreSheds,
  kShedOrders,
  kLateStarts,
  kCrashWorker,
  kUnlistWorker,
  kEvacuateDomain,
  kSlowWorker,
  kCount,
};

// Which faults a schedule draws from: the basic ones are those up to
// `kOneWayLink`, all faults those up to `kUnlistWorker`; operations are what
// operators ask for, and uneven workers, besides. Schedules of a set stay as
// they are for their seeds.
enum class fault_set : std::uint8_t { kBasic, kAll, kAllAndOperations };

// One fault, repaired after `duration`. `target` selects the entry, worker or
// link, modulo their number.
struct fault {
  const fault_kind kind = fault_kind::kKillEntry;
  const std::chrono::milliseconds at{0};
  const std::chrono::milliseconds duration{0};
  const std::uint32_t target = 0;

  bool operator==(const fault&) const = default;
};

// Sorted by start time. Faults may overlap.
std::vector<fault> GenerateSchedule(std::uint64_t seed,
                                    std::chrono::milliseconds length,
                                    fault_set set);

std::string FaultName(fault_kind kind);

}  // namespace parsleyhitch::soak

#endif  // PARSLEYHITCH_SOAK_SCHEDULE_H_
