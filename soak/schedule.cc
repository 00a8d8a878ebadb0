// About one fault every 0.8 s, each of 0.3 to 5 s.

#include "soak/schedule.h"

#include <array>
#include <random>

namespace parsleyhitch::soak {

namespace {

constexpr std::int64_t kMeanGapMs = 800;
constexpr std::int64_t kLeastMs = 300;
constexpr std::int64_t kMostMs = 5000;
// Room for the longest graceful stop.
constexpr std::int64_t kStopMs = 5500;

}  // namespace

std::vector<fault> DrawSchedule(std::uint64_t seed,
                                std::chrono::milliseconds length) {
  std::mt19937_64 random(seed);
  const auto between = [&](std::int64_t least, std::int64_t most) {
    const auto span = static_cast<std::uint64_t>(most - least + 1);
    return least + static_cast<std::int64_t>(random() % span);
  };
  std::vector<fault> faults;
  std::int64_t at = between(0, kMeanGapMs);
  while (at < length.count()) {
    const auto kind = static_cast<fault_kind>(
        random() % static_cast<std::uint64_t>(fault_kind::kCount));
    const std::int64_t lasts =
        kind == fault_kind::kStopEntry ? kStopMs : between(kLeastMs, kMostMs);
    const auto target = static_cast<std::uint32_t>(random() % 1000);
    faults.push_back({.kind = kind,
                      .at = std::chrono::milliseconds(at),
                      .lasts = std::chrono::milliseconds(lasts),
                      .target = target});
    at += between(1, 2 * kMeanGapMs);
  }
  return faults;
}

std::string NameOf(fault_kind kind) {
  static const std::array<const char*,
                          static_cast<std::size_t>(fault_kind::kCount)>
      names{"kill_entry",     "freeze_entry", "stop_entry", "store_down",
            "lose_answers",   "compact",      "cut_worker", "failing_worker",
            "restart_worker", "delay_link",   "reset_link", "silence_link",
            "one_way_link"};
  return names.at(static_cast<std::size_t>(kind));
}

}  // namespace parsleyhitch::soak
