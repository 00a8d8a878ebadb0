// What fails in one run of the soak, and when: drawn from a seed, as data.

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
  kStopEntry,  // a graceful stop, then a new start
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
  kCount,
};

// One failure, mended after a while. `target` is reduced to the number of
// entries, workers or links.
struct fault {
  const fault_kind kind = fault_kind::kKillEntry;
  const std::chrono::milliseconds at{0};
  const std::chrono::milliseconds lasts{0};
  const std::uint32_t target = 0;

  bool operator==(const fault&) const = default;
};

// By time of beginning. Faults overlap as they come.
std::vector<fault> DrawSchedule(std::uint64_t seed,
                                std::chrono::milliseconds length);

std::string NameOf(fault_kind kind);

}  // namespace parsleyhitch::soak

#endif  // PARSLEYHITCH_SOAK_SCHEDULE_H_
