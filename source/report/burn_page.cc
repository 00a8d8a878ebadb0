// Renders the burn report as HTML with inline SVG.

#include "report/burn_page.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>

namespace parsleyhitch::report {

namespace {

constexpr int kPlotWidth = 860;
constexpr int kPlotHeight = 180;
constexpr int kMargin = 48;
constexpr std::int64_t kColumns = 60;
constexpr double kPermille = 1000.0;

constexpr char kStyle[] =
    "body{font:15px/1.45 sans-serif;margin:2rem "
    "auto;max-width:960px;color:#1b1f24}"
    "table{border-collapse:collapse;margin:1rem 0}"
    "th,td{padding:.35rem .8rem;text-align:right;border-bottom:1px solid "
    "#d8dee4}"
    "th:first-child,td:first-child{text-align:left}"
    ".bad{color:#b3261e;font-weight:600}.ok{color:#1a7f37;font-weight:600}"
    "svg text{font:12px sans-serif;fill:#57606a}";

// Request counts of one interval of the plot.
struct column {
  std::uint64_t total = 0;
  std::uint64_t missed = 0;
};

bool IsGood(const model::objective& objective, const observation& observed) {
  return observed.whole_answer && observed.latency <= objective.within;
}

// The plotted time, split into `kColumns` intervals of equal length.
struct time_span {
  model::timestamp first;
  model::duration column_length{1};
};

time_span MakeSpan(const std::vector<observation>& observations) {
  const auto [first, last] = std::ranges::minmax_element(
      observations, {}, [](const observation& each) { return each.at; });
  const model::duration length = last->at - first->at + model::duration(1);
  return {.first = first->at,
          .column_length = std::max(model::duration(1),
                                    length / kColumns + model::duration(1))};
}

std::vector<column> MakeColumns(const model::objective& objective,
                                const std::vector<observation>& observations,
                                const time_span& span) {
  std::vector<column> columns(kColumns);
  for (const observation& observed : observations) {
    if (observed.service != objective.service_name)
      continue;
    column& target = columns.at(static_cast<std::size_t>(
        (observed.at - span.first) / span.column_length));
    ++target.total;
    target.missed += IsGood(objective, observed) ? 0 : 1;
  }
  return columns;
}

std::string Bar(double x,
                double width,
                double top,
                double bottom,
                const char* colour) {
  return fmt::format(
      "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' fill='{}'/>",
      x, top, width, std::max(0.0, bottom - top), colour);
}

std::string Label(double x,
                  double y,
                  const char* anchor,
                  const std::string& text) {
  return fmt::format("<text x='{:.1f}' y='{:.1f}' text-anchor='{}'>{}</text>",
                     x, y, anchor, text);
}

std::string Plot(const std::vector<column>& columns, const time_span& span) {
  const auto highest = std::ranges::max_element(columns, {}, &column::total);
  const auto max_total =
      static_cast<double>(std::max<std::uint64_t>(1, highest->total));
  const double bottom = kPlotHeight - kMargin / 2.0;
  const double width = static_cast<double>(kPlotWidth - kMargin) / kColumns;
  const double scale = (bottom - kMargin / 2.0) / max_total;
  std::string svg = fmt::format("<svg viewBox='0 0 {} {}' role='img'>",
                                kPlotWidth, kPlotHeight);
  for (std::size_t i = 0; i < columns.size(); ++i) {
    const double x = kMargin + width * static_cast<double>(i);
    const double total_top =
        bottom - scale * static_cast<double>(columns[i].total);
    const double missed_top =
        bottom - scale * static_cast<double>(columns[i].missed);
    svg += Bar(x, width - 1, total_top, bottom, "#9ecae1");
    svg += Bar(x, width - 1, missed_top, bottom, "#b3261e");
  }
  const double seconds =
      static_cast<double>(span.column_length.count()) * kColumns / kPermille;
  svg += Label(kMargin - 6, kMargin / 2.0 + 4, "end",
               fmt::format("{:.0f}", max_total));
  svg += Label(kMargin - 6, bottom, "end", "0");
  svg += Label(kMargin, kPlotHeight - 6, "start", "0 s");
  svg += Label(kPlotWidth, kPlotHeight - 6, "end",
               fmt::format("{:.0f} s", seconds));
  return svg + "</svg>";
}

std::string Row(const model::objective& objective,
                const std::vector<column>& columns) {
  column sum;
  for (const column& each : columns) {
    sum.total += each.total;
    sum.missed += each.missed;
  }
  const double total =
      static_cast<double>(std::max<std::uint64_t>(1, sum.total));
  const double missed = static_cast<double>(sum.missed);
  const double allowed = 1.0 - objective.target_permille / kPermille;
  const double burn = missed / total / allowed;
  return fmt::format(
      "<tr><td>{}</td><td>{:.1f} % within {} ms</td><td>{}</td><td>{}</td>"
      "<td>{:.2f} %</td><td class='{}'>{:.2f}</td><td class='{}'>{:.0f} "
      "%</td></tr>",
      objective.service_name.value(), objective.target_permille / 10.0,
      objective.within.count(), sum.total, sum.missed,
      100.0 * (1.0 - missed / total), burn > 1 ? "bad" : "ok", burn,
      burn > 1 ? "bad" : "ok", 100.0 * (1.0 - burn));
}

}  // namespace

std::string BurnPage(const std::string& title,
                     const std::vector<model::objective>& objectives,
                     const std::vector<observation>& observations) {
  std::string page = fmt::format(
      "<!doctype html><html lang='en'><meta charset='utf-8'><title>{0}</title>"
      "<style>{1}</style><h1>{0}</h1>"
      "<p>The burn rate is the share of requests that missed the objective, "
      "divided by the share that the objective allows: up to 1 the objective "
      "is met, above 1 it is missed. Blue bars show all requests per interval, "
      "red bars those that missed the objective."
      "</p><table><tr><th>service</th><th>objective</th><th>requests</th>"
      "<th>missed</th><th>met</th><th>burn rate</th><th>budget "
      "left</th></tr>",
      title, kStyle);
  if (observations.empty())
    return page + "</table><p>No requests were recorded.</p></html>\n";
  const time_span span = MakeSpan(observations);
  std::string plots;
  for (const model::objective& objective : objectives) {
    const std::vector<column> columns =
        MakeColumns(objective, observations, span);
    page += Row(objective, columns);
    plots += fmt::format("<h2>{}</h2>{}", objective.service_name.value(),
                         Plot(columns, span));
  }
  return page + "</table>" + plots + "</html>\n";
}

}  // namespace parsleyhitch::report
