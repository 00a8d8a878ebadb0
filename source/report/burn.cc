// Multi-window burn rates, after chapter 5 of the Site Reliability Workbook.

#include "report/burn.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "wire/json_codec.h"

namespace parsleyhitch::report {

PARSLEYHITCH_DESCRIBE(burn_line,
                      service,
                      target_permille,
                      within,
                      short_total,
                      short_good,
                      long_total,
                      long_good,
                      short_burn_permille,
                      long_burn_permille,
                      budget_left_permille)

namespace {

constexpr std::uint64_t kPermille = 1000;

const model::objective* FindObjective(
    const std::vector<model::objective>& objectives,
    const model::service_id& service) {
  const auto found =
      std::ranges::find(objectives, service, &model::objective::service_name);
  return found == objectives.end() ? nullptr : &*found;
}

model::timestamp BucketStart(model::timestamp at) {
  return model::timestamp(at.time_since_epoch() / kBurnBucket * kBurnBucket);
}

burn_counts DropExpired(burn_counts counts, model::timestamp now) {
  std::vector<burn_bucket_key> expired;
  for (const auto& [key, count] : counts) {
    if (key.start + kBurnBucket + kLongWindow < now)
      expired.push_back(key);
  }
  for (const burn_bucket_key& key : expired)
    counts.Erase(key);
  return counts;
}

struct window_sum {
  std::uint64_t total = 0;
  std::uint64_t good = 0;
};

window_sum SumSince(const burn_counts& counts,
                    const model::service_id& service,
                    model::timestamp since) {
  window_sum sum;
  for (const auto& [key, count] : counts) {
    if (key.service != service || key.start + kBurnBucket <= since)
      continue;
    sum.total += count.total;
    sum.good += count.good;
  }
  return sum;
}

std::uint64_t BurnPermille(std::uint64_t total,
                           std::uint64_t good,
                           std::uint32_t target_permille) {
  const std::uint64_t allowed = kPermille - target_permille;
  if (total == 0 || allowed == 0)
    return 0;
  return (total - good) * kPermille * kPermille / (total * allowed);
}

burn_line MakeLine(const model::service_id& service,
                   std::uint32_t target_permille,
                   model::duration within,
                   window_sum short_window,
                   window_sum long_window) {
  const std::uint64_t long_burn =
      BurnPermille(long_window.total, long_window.good, target_permille);
  return {.service = service,
          .target_permille = target_permille,
          .within = within,
          .short_total = short_window.total,
          .short_good = short_window.good,
          .long_total = long_window.total,
          .long_good = long_window.good,
          .short_burn_permille = BurnPermille(
              short_window.total, short_window.good, target_permille),
          .long_burn_permille = long_burn,
          .budget_left_permille = static_cast<std::int64_t>(kPermille) -
                                  static_cast<std::int64_t>(long_burn)};
}

}  // namespace

burn_counts Observe(burn_counts counts,
                    const std::vector<model::objective>& objectives,
                    const observation& observed) {
  const model::objective* objective =
      FindObjective(objectives, observed.service);
  if (objective == nullptr)
    return counts;
  const burn_bucket_key key{.service = observed.service,
                            .start = BucketStart(observed.at)};
  const burn_count* existing = counts.Find(key);
  const burn_count previous = existing == nullptr ? burn_count{} : *existing;
  const bool good =
      observed.whole_answer && observed.latency <= objective->within;
  if (existing == nullptr)
    counts = DropExpired(std::move(counts), observed.at);
  counts.Put(key, {.total = previous.total + 1,
                   .good = previous.good + (good ? 1 : 0)});
  return counts;
}

std::vector<burn_line> BurnReport(
    const burn_counts& counts,
    const std::vector<model::objective>& objectives,
    model::timestamp now) {
  std::vector<burn_line> lines;
  lines.reserve(objectives.size());
  for (const model::objective& objective : objectives) {
    lines.push_back(MakeLine(
        objective.service_name, objective.target_permille, objective.within,
        SumSince(counts, objective.service_name, now - kShortWindow),
        SumSince(counts, objective.service_name, now - kLongWindow)));
  }
  return lines;
}

std::vector<burn_line> MergeBurnReports(
    const std::vector<std::vector<burn_line>>& reports) {
  std::vector<burn_line> sums;
  for (const std::vector<burn_line>& report : reports) {
    std::vector<burn_line> merged;
    for (const burn_line& line : report) {
      const auto found =
          std::ranges::find(sums, line.service, &burn_line::service);
      const burn_line previous =
          found == sums.end() ? burn_line{.service = line.service} : *found;
      merged.push_back(
          MakeLine(line.service, line.target_permille, line.within,
                   {.total = previous.short_total + line.short_total,
                    .good = previous.short_good + line.short_good},
                   {.total = previous.long_total + line.long_total,
                    .good = previous.long_good + line.long_good}));
    }
    sums = std::move(merged);
  }
  return sums;
}

std::string EncodeBurn(const std::vector<burn_line>& lines) {
  return wire::ToJson(lines);
}

std::vector<burn_line> DecodeBurn(const std::string& text) {
  auto lines = wire::ValueOf(
      [&] { return wire::FromJson<std::vector<burn_line>>(text); });
  return lines ? std::move(*lines) : std::vector<burn_line>();
}

std::string BurnTable(const std::vector<burn_line>& lines) {
  constexpr double kPermilleFactor = 1000.0;
  std::string table = fmt::format(
      "{:<24} {:>8} {:>9} {:>10} {:>10} {:>10} {:>11} {:>12}\n", "SERVICE",
      "TARGET", "WITHIN", "5 MIN", "BURN", "60 MIN", "BURN", "BUDGET LEFT");
  for (const burn_line& line : lines) {
    table += fmt::format(
        "{:<24} {:>7.1f}% {:>6} ms {:>10} {:>10.2f} {:>10} {:>11.2f} "
        "{:>11.1f}%\n",
        line.service.value(), line.target_permille / 10.0, line.within.count(),
        line.short_total,
        static_cast<double>(line.short_burn_permille) / kPermilleFactor,
        line.long_total,
        static_cast<double>(line.long_burn_permille) / kPermilleFactor,
        static_cast<double>(line.budget_left_permille) / 10.0);
  }
  return table;
}

}  // namespace parsleyhitch::report
