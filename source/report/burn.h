// Burn rate: how fast a service consumes its error budget. A rate of 1 consumes
// it exactly by the end of the objective's period; a higher rate consumes it
// too early.

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

// The outcome of one request.
struct observation {
  const model::service_id service;
  const model::timestamp at;
  const model::duration latency{0};
  const bool whole_answer = false;
  bool operator==(const observation&) const = default;
};

struct burn_bucket_key {
  const model::service_id service;
  const model::timestamp start;
  auto operator<=>(const burn_bucket_key&) const = default;
};

struct burn_count {
  const std::uint64_t total = 0;
  const std::uint64_t good = 0;
  bool operator==(const burn_count&) const = default;
};

// Request counts by service and time bucket.
using burn_counts = model::value_table<burn_bucket_key, burn_count>;

// Counts the observation as good or bad by the service's objective; an
// observation of a service without an objective is ignored. Drops buckets older
// than the long window.
burn_counts Observe(burn_counts counts,
                    const std::vector<model::objective>& objectives,
                    const observation& observed);

// One service's line of the report. Burn rates are in permille: 1000 is a rate
// of 1.
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
  // Remaining error budget of the long window; negative when overspent.
  const std::int64_t budget_left_permille = 0;
  bool operator==(const burn_line&) const = default;
};

std::vector<burn_line> BurnReport(
    const burn_counts& counts,
    const std::vector<model::objective>& objectives,
    model::timestamp now);

// Sums the reports of several entries on the same objectives.
std::vector<burn_line> MergeBurnReports(
    const std::vector<std::vector<burn_line>>& reports);

// The report as JSON. DecodeBurn gives no lines for text that it can't parse.
std::string EncodeBurn(const std::vector<burn_line>& lines);
std::vector<burn_line> DecodeBurn(const std::string& text);

// A plain-text table for terminals.
std::string BurnTable(const std::vector<burn_line>& lines);

}  // namespace parsleyhitch::report

#endif  // PARSLEYHITCH_REPORT_BURN_H_
