// The objective decides first. If both ways meet it, or neither does, the
// earlier end does, where the one near is preferred: elsewhere the unit holds
// its room several times as long, which others then lack.

#include "policy/locality.h"

#include <algorithm>

namespace parsleyhitch::policy {

namespace {

// Run times are estimated 20 to 50 % off, so that a wait is taken to be a
// quarter longer than expected, in thousandths.
constexpr std::int64_t kWaitMargin = 1250;

// A unit that has waited in vain expects to wait for this share of that time
// again at least, in thousandths: others take the room that becomes free.
constexpr std::int64_t kVainShare = 500;

// How much longer the end near has to take before a unit that is late either
// way holds room elsewhere for several times as long, in thousandths of the
// additional run time.
constexpr std::int64_t kLateMargin = 1500;

std::int64_t CountFits(const work::resources& need,
                       const work::resources& room) {
  constexpr std::int64_t kMost = 1 << 20;
  const auto fits = [&](std::int64_t amount, std::int64_t each) {
    return each <= 0 ? kMost
                     : std::clamp<std::int64_t>(amount / each, 0, kMost);
  };
  return std::min({fits(room.cpu_millis, need.cpu_millis),
                   fits(room.memory_mb, need.memory_mb),
                   fits(room.accelerators, need.accelerators)});
}

}  // namespace

std::optional<duration> ExpectedWait(const std::vector<room_forecast>& workers,
                                     const work::resources& need,
                                     std::uint32_t tasks) {
  // When each further task fits.
  std::vector<duration> fits_at;
  for (const room_forecast& each : workers) {
    std::vector<coming_room> coming = each.coming;
    std::ranges::sort(coming, {}, &coming_room::in);
    work::resources room = each.free;
    std::int64_t counted = 0;
    const auto count = [&](duration at) {
      const std::int64_t fits =
          std::min<std::int64_t>(CountFits(need, room), tasks);
      for (; counted < fits; ++counted)
        fits_at.push_back(at);
    };
    count(duration(0));
    for (const coming_room& next : coming) {
      room = room + next.amount;
      count(next.in);
    }
  }
  if (tasks == 0)
    return duration(0);
  if (fits_at.size() < tasks)
    return {};
  const auto last = fits_at.begin() + (tasks - 1);
  std::ranges::nth_element(fits_at, last);
  return *last;
}

locality ChooseLocality(const locality_question& question) {
  if (!question.wait)
    return locality::kRunsElsewhere;
  const duration wait = std::max(*question.wait * kWaitMargin / 1000,
                                 question.waited * kVainShare / 1000);
  if (question.begins_within && wait > *question.begins_within)
    return locality::kRunsElsewhere;
  const duration longer =
      question.run_time *
      std::max<std::int64_t>(std::int64_t{question.remote_permille} - 1000, 0) /
      1000;
  const bool in_time_near = wait <= question.slack;
  const bool in_time_elsewhere = longer <= question.slack;
  if (in_time_near)
    return locality::kWaits;
  if (in_time_elsewhere)
    return locality::kRunsElsewhere;
  return wait > longer * kLateMargin / 1000 ? locality::kRunsElsewhere
                                            : locality::kWaits;
}

}  // namespace parsleyhitch::policy
