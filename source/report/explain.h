// Traces one request through the processes' logs: its own events, the events of
// the workers that ran it and of the processes in the same time range, and a
// summary of its outcome.

#ifndef PARSLEYHITCH_REPORT_EXPLAIN_H_
#define PARSLEYHITCH_REPORT_EXPLAIN_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyhitch::report {

// How a line relates to the request.
enum class relation {
  kRequest,  // mentions the request
  kWorker,   // concerns a worker that ran part of the request
  kEntry,    // concerns the store, the leader or a process
};

// One structured log event of a process.
struct logged_decision {
  // UTC, as logged: "2026-05-18T14:34:23.415Z".
  const std::string at;
  const std::string process;
  // The event's name.
  const std::string decision;
  const std::string subject;
  // The event's further fields by name.
  const std::map<std::string, std::string> fields{};

  bool operator==(const logged_decision&) const = default;
};

struct explained_line {
  const relation why = relation::kRequest;
  const logged_decision line{};

  bool operator==(const explained_line&) const = default;
};

struct explanation {
  // In order of time.
  const std::vector<explained_line> lines{};
  // One statement per line, the most important first; empty if no log mentions
  // the request.
  const std::vector<std::string> summary{};
  // Number of lines that are not structured log events.
  const std::size_t skipped = 0;

  bool operator==(const explanation&) const = default;
};

// `text` holds the logs of any number of processes, in any order, with one JSON
// object per line; text before a line's opening brace is ignored.
explanation Explain(std::string_view text, const std::string& id);

// Plain text: one line per event, then the summary.
std::string ExplanationTable(const explanation& explained);

}  // namespace parsleyhitch::report

#endif  // PARSLEYHITCH_REPORT_EXPLAIN_H_
