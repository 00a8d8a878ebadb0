// Service-level burn: how fast a service uses up its error budget. A burn of 1
// uses the budget up exactly by the end of the objective's period; above 1 is
// too fast.

#ifndef PARSLEYHITCH_REPORT_BURN_H_
#define PARSLEYHITCH_REPORT_BURN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "model/identifier.h"
#include "model/manifest.h"
#include "model/time.h"
#include "model/value_table.h"

namespace parsleyhitch::report {

inline constexpr model::duration kBurnBucket{60000};
inline constexpr model::duration kShortWindow{300000};
inline constexpr model::duration kLongWindow{3600000};

// One request's end.
struct observation {
  const model::service_id service;
  const model::timestamp at;
  const model::duration latency{0};
  const bool whole_answer = false;
  bool operator==(const observation&) const = default;
};

struct burn_bucket_name {
  const model::service_id service;
  const model::timestamp start;
  auto operator<=>(const burn_bucket_name&) const = default;
};

struct burn_count {
  const std::uint64_t total = 0;
  const std::uint64_t good = 0;
  bool operator==(const burn_count&) const = default;
};

// Counts by service and bucket of time.
using burn_counts = model::value_table<burn_bucket_name, burn_count>;

// Adds the observation, judged by the service's objective; without one it is
// left out. Buckets older than the long window are dropped.
burn_counts Observe(burn_counts counts,
                    const std::vector<model::objective>& objectives,
                    const observation& seen);

// One service's line of the report. Rates are in permille of a burn of 1.
struct burn_line {
  const model::service_id service;
  const std::uint32_t target_permille = 0;
  const model::duration within{0};
  const std::uint64_t short_total = 0;
  const std::uint64_t short_good = 0;
  const std::uint64_t long_total = 0;
  const std::uint64_t long_good = 0;
  const std::uint64_t short_burn_permille = 0;
  const std::uint64_t long_burn_permille = 0;
  // What is left of the long window's error budget; negative when overspent.
  const std::int64_t budget_left_permille = 0;
  bool operator==(const burn_line&) const = default;
};

std::vector<burn_line> BurnReport(
    const burn_counts& counts,
    const std::vector<model::objective>& objectives,
    model::timestamp now);

// Adds up the reports of several entries on the same objectives.
std::vector<burn_line> SumBurn(
    const std::vector<std::vector<burn_line>>& reports);

std::string EncodeBurn(const std::vector<burn_line>& lines);
std::vector<burn_line> DecodeBurn(const std::string& text);

// A table for people.
std::string BurnTable(const std::vector<burn_line>& lines);

}  // namespace parsleyhitch::report

#endif  // PARSLEYHITCH_REPORT_BURN_H_
