// Generates about one fault every 0.8 s, each lasting 0.3 to 5 s.

#include "soak/schedule.h"

#include <array>
#include <random>

namespace parsleyhitch::soak {

namespace {

constexpr std::int64_t kMeanGapMs = 800;
constexpr std::int64_t kMinDurationMs = 300;
constexpr std::int64_t kMaxDurationMs = 5000;
// Long enough for the longest graceful stop.
constexpr std::int64_t kStopDurationMs = 5500;
// Well above the bound from which on nothing may start in the domain.
constexpr std::int64_t kEvacuationDurationMs = 16000;

std::uint64_t KindsOf(fault_set set) {
  switch (set) {
    case fault_set::kBasic:
      return static_cast<std::uint64_t>(fault_kind::kStoreSheds);
    case fault_set::kAll:
      return static_cast<std::uint64_t>(fault_kind::kEvacuateDomain);
    case fault_set::kAllAndOperations:
      break;
  }
  return static_cast<std::uint64_t>(fault_kind::kCount);
}

}  // namespace

std::vector<fault> GenerateSchedule(std::uint64_t seed,
                                    std::chrono::milliseconds length,
                                    fault_set set) {
  const std::uint64_t kinds = KindsOf(set);
  std::mt19937_64 random(seed);
  const auto uniform = [&](std::int64_t minimum, std::int64_t maximum) {
    const auto span = static_cast<std::uint64_t>(maximum - minimum + 1);
    return minimum + static_cast<std::int64_t>(random() % span);
  };
  std::vector<fault> faults;
  std::int64_t at = uniform(0, kMeanGapMs);
  while (at < length.count()) {
    const auto kind = static_cast<fault_kind>(random() % kinds);
    std::int64_t duration = kStopDurationMs;
    if (kind == fault_kind::kEvacuateDomain)
      duration = kEvacuationDurationMs;
    else if (kind != fault_kind::kStopEntry)
      duration = uniform(kMinDurationMs, kMaxDurationMs);
    const auto target = static_cast<std::uint32_t>(random() % 1000);
    faults.push_back({.kind = kind,
                      .at = std::chrono::milliseconds(at),
                      .duration = std::chrono::milliseconds(duration),
                      .target = target});
    at += uniform(1, 2 * kMeanGapMs);
  }
  return faults;
}

std::string FaultName(fault_kind kind) {
  static const std::array<const char*,
                          static_cast<std::size_t>(fault_kind::kCount)>
      names{"kill_entry",      "freeze_entry",   "stop_entry",
            "store_down",      "lose_answers",   "compact",
            "cut_worker",      "failing_worker", "restart_worker",
            "delay_link",      "reset_link",     "silence_link",
            "one_way_link",    "store_sheds",    "shed_orders",
            "late_starts",     "crash_worker",   "unlist_worker",
            "evacuate_domain", "slow_worker"};
  return names.at(static_cast<std::size_t>(kind));
}

}  // namespace parsleyhitch::soak
