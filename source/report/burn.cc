// Multi-window burn rates, as in the Site Reliability Workbook, chapter 5.

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

model::timestamp BucketOf(model::timestamp at) {
  return model::timestamp(at.time_since_epoch() / kBurnBucket * kBurnBucket);
}

burn_counts DropOld(burn_counts counts, model::timestamp now) {
  std::vector<burn_bucket_name> old;
  for (const auto& [name, count] : counts) {
    if (name.start + kBurnBucket + kLongWindow < now)
      old.push_back(name);
  }
  for (const burn_bucket_name& name : old)
    counts.Erase(name);
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
  for (const auto& [name, count] : counts) {
    if (name.service != service || name.start + kBurnBucket <= since)
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

burn_line LineOf(const model::service_id& service,
                 std::uint32_t target_permille,
                 model::duration within,
                 window_sum brief,
                 window_sum lengthy) {
  const std::uint64_t long_burn =
      BurnPermille(lengthy.total, lengthy.good, target_permille);
  return {.service = service,
          .target_permille = target_permille,
          .within = within,
          .short_total = brief.total,
          .short_good = brief.good,
          .long_total = lengthy.total,
          .long_good = lengthy.good,
          .short_burn_permille =
              BurnPermille(brief.total, brief.good, target_permille),
          .long_burn_permille = long_burn,
          .budget_left_permille = static_cast<std::int64_t>(kPermille) -
                                  static_cast<std::int64_t>(long_burn)};
}

}  // namespace

burn_counts Observe(burn_counts counts,
                    const std::vector<model::objective>& objectives,
                    const observation& seen) {
  const model::objective* objective = FindObjective(objectives, seen.service);
  if (objective == nullptr)
    return counts;
  const burn_bucket_name name{.service = seen.service,
                              .start = BucketOf(seen.at)};
  const burn_count* present = counts.Find(name);
  const burn_count old = present == nullptr ? burn_count{} : *present;
  const bool good = seen.whole_answer && seen.latency <= objective->within;
  if (present == nullptr)
    counts = DropOld(std::move(counts), seen.at);
  counts.Put(name, {.total = old.total + 1, .good = old.good + (good ? 1 : 0)});
  return counts;
}

std::vector<burn_line> BurnReport(
    const burn_counts& counts,
    const std::vector<model::objective>& objectives,
    model::timestamp now) {
  std::vector<burn_line> lines;
  lines.reserve(objectives.size());
  for (const model::objective& each : objectives) {
    lines.push_back(
        LineOf(each.service_name, each.target_permille, each.within,
               SumSince(counts, each.service_name, now - kShortWindow),
               SumSince(counts, each.service_name, now - kLongWindow)));
  }
  return lines;
}

std::vector<burn_line> SumBurn(
    const std::vector<std::vector<burn_line>>& reports) {
  std::vector<burn_line> sums;
  for (const std::vector<burn_line>& report : reports) {
    std::vector<burn_line> next;
    for (const burn_line& line : report) {
      const auto found =
          std::ranges::find(sums, line.service, &burn_line::service);
      const burn_line before =
          found == sums.end() ? burn_line{.service = line.service} : *found;
      next.push_back(LineOf(line.service, line.target_permille, line.within,
                            {.total = before.short_total + line.short_total,
                             .good = before.short_good + line.short_good},
                            {.total = before.long_total + line.long_total,
                             .good = before.long_good + line.long_good}));
    }
    sums = std::move(next);
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
  constexpr double kPermilleReal = 1000.0;
  std::string table = fmt::format(
      "{:<24} {:>8} {:>9} {:>10} {:>10} {:>10} {:>11} {:>12}\n", "SERVICE",
      "TARGET", "WITHIN", "5 MIN", "BURN", "60 MIN", "BURN", "BUDGET LEFT");
  for (const burn_line& line : lines) {
    table += fmt::format(
        "{:<24} {:>7.1f}% {:>6} ms {:>10} {:>10.2f} {:>10} {:>11.2f} "
        "{:>11.1f}%\n",
        line.service.value(), line.target_permille / 10.0, line.within.count(),
        line.short_total,
        static_cast<double>(line.short_burn_permille) / kPermilleReal,
        line.long_total,
        static_cast<double>(line.long_burn_permille) / kPermilleReal,
        static_cast<double>(line.budget_left_permille) / 10.0);
  }
  return table;
}

}  // namespace parsleyhitch::report
