// Works in two passes. The first finds the request's own lines, its workers and
// its time range. The second adds the events of those workers and of the
// processes within that range.

#include "report/explain.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

namespace parsleyhitch::report {

namespace {

using json = nlohmann::json;

// Events of a process, of the leader or of the store.
bool IsProcessEvent(const std::string& decision) {
  static const std::set<std::string> process_events{
      "started",          "stopped",
      "stalled",          "shutdown_started",
      "store_lost",       "store_recovered",
      "leadership_won",   "leadership_lost",
      "jobs_restored",    "workers_reconciled",
      "catalog_in_force", "settings_reloaded",
      "writer_fenced",    "feed_trimmed",
      "order_expired",    "leader_load"};
  return process_events.contains(decision);
}

std::optional<logged_decision> ParseLine(std::string_view line) {
  const std::size_t brace = line.find('{');
  if (brace == std::string_view::npos)
    return {};
  const json parsed = json::parse(line.substr(brace), nullptr, false);
  if (!parsed.is_object() || !parsed.contains("decision"))
    return {};
  const auto text = [&](const char* name) {
    const auto found = parsed.find(name);
    return found != parsed.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
  };
  static const std::set<std::string> envelope{"at", "level", "process",
                                              "decision", "subject"};
  std::map<std::string, std::string> fields;
  for (const auto& [name, value] : parsed.items()) {
    if (!envelope.contains(name))
      fields[name] =
          value.is_string() ? value.get<std::string>() : value.dump();
  }
  return logged_decision{.at = text("at"),
                         .process = text("process"),
                         .decision = text("decision"),
                         .subject = text("subject"),
                         .fields = std::move(fields)};
}

std::string FieldOf(const logged_decision& line, const std::string& name) {
  const auto found = line.fields.find(name);
  return found == line.fields.end() ? std::string() : found->second;
}

// True if the subject is the ID, a unit or task whose name begins with the ID
// and a dot, or a path that ends with the ID, or if a field holds the ID.
bool Mentions(const logged_decision& line, const std::string& id) {
  const std::string& subject = line.subject;
  if (subject == id || subject.starts_with(id + ".") ||
      subject.ends_with("/" + id))
    return true;
  return std::ranges::any_of(
      line.fields, [&](const auto& field) { return field.second == id; });
}

struct parsed_logs {
  std::vector<logged_decision> lines;
  std::size_t skipped = 0;
};

parsed_logs Parse(std::string_view text) {
  parsed_logs found;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty())
      continue;
    auto parsed = ParseLine(line);
    if (parsed)
      found.lines.push_back(std::move(*parsed));
    else
      found.skipped += 1;
  }
  return found;
}

std::vector<const logged_decision*> ByTime(
    const std::vector<logged_decision>& lines) {
  std::vector<const logged_decision*> sorted;
  sorted.reserve(lines.size());
  for (const logged_decision& line : lines)
    sorted.push_back(&line);
  std::ranges::stable_sort(sorted, {}, &logged_decision::at);
  return sorted;
}

// Workers and time range of a request, from the lines that mention it.
struct request_scope {
  std::set<std::string> workers;
  std::string first;
  std::string last;
};

request_scope ScopeOf(const std::vector<logged_decision>& lines,
                      const std::string& id) {
  request_scope found;
  for (const logged_decision& line : lines) {
    if (!Mentions(line, id))
      continue;
    const std::string worker = FieldOf(line, "worker");
    if (!worker.empty())
      found.workers.insert(worker);
    if (found.first.empty() || line.at < found.first)
      found.first = line.at;
    found.last = std::max(found.last, line.at);
  }
  return found;
}

std::optional<relation> RelationOf(const logged_decision& line,
                                   const request_scope& scope,
                                   const std::string& id) {
  if (Mentions(line, id))
    return relation::kRequest;
  if (line.at < scope.first || line.at > scope.last)
    return {};
  const bool is_task_event = line.decision.starts_with("unit_") ||
                             line.decision.starts_with("task_") ||
                             line.decision == "start_rejected";
  if (!is_task_event && scope.workers.contains(line.subject))
    return relation::kWorker;
  if (IsProcessEvent(line.decision))
    return relation::kEntry;
  return {};
}

void Add(std::map<std::string, std::uint64_t>& counts,
         const std::string& what) {
  if (!what.empty())
    counts[what] += 1;
}

std::string JoinCounts(const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  for (const auto& [what, count] : counts) {
    text += text.empty() ? "" : ", ";
    text += what + " " + std::to_string(count);
  }
  return text;
}

// Statistics over the lines of one request, the source of its summary.
struct request_statistics {
  std::map<std::string, std::uint64_t> answers;
  std::map<std::string, std::uint64_t> task_outcomes;
  std::map<std::string, std::uint64_t> stop_reasons;
  std::map<std::string, std::uint64_t> failed_workers;
  std::map<std::string, std::uint64_t> lost_workers;
  std::map<std::string, std::uint64_t> entries;
  std::uint64_t starts = 0;
  std::uint64_t longest_wait_ms = 0;
  std::string longest_wait_unit;
  std::string phase;
  std::string took_ms;
};

void CountRequestLine(request_statistics& counts, const logged_decision& line) {
  if (line.decision == "answered")
    Add(counts.answers, FieldOf(line, "call") + ": " + FieldOf(line, "answer"));
  if (line.decision == "unit_stopped")
    Add(counts.stop_reasons, FieldOf(line, "why"));
  if (line.decision == "task_ended") {
    Add(counts.task_outcomes, FieldOf(line, "how"));
    if (FieldOf(line, "how") == "failed")
      Add(counts.failed_workers, FieldOf(line, "worker"));
  }
  if (line.decision == "job_closed") {
    counts.phase = FieldOf(line, "phase");
    counts.took_ms = FieldOf(line, "took_ms");
  }
  if (line.decision != "unit_placed")
    return;
  counts.starts += 1;
  const std::string waited = FieldOf(line, "waited_ms");
  const std::uint64_t wait_ms =
      waited.empty() ? 0 : std::strtoull(waited.c_str(), nullptr, 10);
  if (wait_ms < counts.longest_wait_ms || counts.starts == 1)
    return;
  counts.longest_wait_ms = wait_ms;
  counts.longest_wait_unit = line.subject + " at " + line.at;
}

request_statistics StatisticsOf(const std::vector<explained_line>& lines) {
  request_statistics counts;
  for (const explained_line& each : lines) {
    if (each.why == relation::kRequest)
      CountRequestLine(counts, each.line);
    if (each.why == relation::kWorker && each.line.decision == "tasks_lost")
      Add(counts.lost_workers,
          each.line.subject + " (" + FieldOf(each.line, "why") + ")");
    if (each.why == relation::kEntry)
      Add(counts.entries, each.line.decision);
  }
  return counts;
}

std::vector<std::string> SummaryOf(const request_statistics& counts) {
  std::vector<std::string> summary;
  const auto add = [&](const std::string& what, const std::string& found) {
    if (!found.empty())
      summary.push_back(what + ": " + found);
  };
  add("ended", counts.phase.empty()
                   ? std::string()
                   : counts.phase + " after " + counts.took_ms + " ms");
  add("answers", JoinCounts(counts.answers));
  add("failed on workers", JoinCounts(counts.failed_workers));
  add("lost with workers", JoinCounts(counts.lost_workers));
  add("stop reasons", JoinCounts(counts.stop_reasons));
  if (counts.starts > 0) {
    add("placed", std::to_string(counts.starts) + " times; longest wait " +
                      std::to_string(counts.longest_wait_ms) + " ms (" +
                      counts.longest_wait_unit + ")");
  }
  add("task outcomes", JoinCounts(counts.task_outcomes));
  add("meanwhile", JoinCounts(counts.entries));
  return summary;
}

}  // namespace

explanation Explain(std::string_view text, const std::string& id) {
  const parsed_logs logs = Parse(text);
  const request_scope scope = ScopeOf(logs.lines, id);
  std::vector<explained_line> lines;
  for (const logged_decision* line : ByTime(logs.lines)) {
    const auto why = RelationOf(*line, scope, id);
    if (why)
      lines.push_back({.why = *why, .line = *line});
  }
  if (scope.first.empty())
    return {.skipped = logs.skipped};
  std::vector<std::string> summary = SummaryOf(StatisticsOf(lines));
  return {.lines = std::move(lines),
          .summary = std::move(summary),
          .skipped = logs.skipped};
}

std::string ExplanationTable(const explanation& explained) {
  static const std::map<relation, std::string> prefixes{
      {relation::kRequest, "  "},
      {relation::kWorker, "w "},
      {relation::kEntry, "e "}};
  std::string table;
  for (const explained_line& each : explained.lines) {
    table += prefixes.at(each.why);
    table += each.line.at;
    for (const std::string* word :
         {&each.line.process, &each.line.decision, &each.line.subject})
      table.append(" ").append(*word);
    for (const auto& [name, value] : each.line.fields)
      table.append(" ").append(name).append("=").append(value);
    table += "\n";
  }
  for (const std::string& line : explained.summary)
    table += line + "\n";
  return table;
}

}  // namespace parsleyhitch::report
