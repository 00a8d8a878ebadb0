// What the entries' logs tell of one request: its own lines, those of the
// workers that ran it and those of changes among the entries meanwhile, and a
// summary of what became of it.

#ifndef PARSLEYHITCH_REPORT_EXPLAIN_H_
#define PARSLEYHITCH_REPORT_EXPLAIN_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyhitch::report {

// How a line bears on the request.
enum class relation {
  kRequest,  // names it
  kWorker,   // is about a worker that ran some of it
  kEntry,    // is about the store, the leader or a process
};

// One decision of a process.
struct logged_decision {
  // UTC, as written: "2026-05-18T14:34:23.415Z".
  const std::string at;
  const std::string process;
  const std::string decision;
  const std::string subject;
  // The inputs of the decision by name.
  const std::map<std::string, std::string> fields{};

  bool operator==(const logged_decision&) const = default;
};

struct explained_line {
  const relation why = relation::kRequest;
  const logged_decision line{};

  bool operator==(const explained_line&) const = default;
};

struct explanation {
  // By time.
  const std::vector<explained_line> lines{};
  // One finding a line, the most telling first; empty when no log names the
  // request.
  const std::vector<std::string> summary{};
  // Lines of the logs that are no decisions.
  const std::size_t skipped = 0;

  bool operator==(const explanation&) const = default;
};

// `text` holds the logs of any number of processes, in any order, a JSON line
// each; whatever stands before a line's brace is ignored.
explanation Explain(std::string_view text, const std::string& id);

// For people: a line each, then the summary.
std::string ExplanationTable(const explanation& explained);

}  // namespace parsleyhitch::report

#endif  // PARSLEYHITCH_REPORT_EXPLAIN_H_
