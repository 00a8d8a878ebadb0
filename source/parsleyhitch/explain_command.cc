// parsleyhitch explain: the history of one request, from the entries' logs.

#include "parsleyhitch/explain_command.h"

#include <iostream>
#include <optional>

#include "parsleyhitch/exit_codes.h"
#include "parsleyhitch/output.h"
#include "report/explain.h"

namespace parsleyhitch {

int RunExplain(const command_input& input) {
  if (input.arguments.size() < 2) {
    std::cerr << "explain: expected a request ID and log files\n";
    return kExitUsage;
  }
  std::string logs;
  for (std::size_t i = 1; i < input.arguments.size(); ++i) {
    const std::optional<std::string> text = ReadFile(input.arguments[i]);
    if (!text)
      return kExitUsage;
    logs += *text + "\n";
  }
  const std::string& id = input.arguments.front();
  const report::explanation explanation = report::Explain(logs, id);
  if (explanation.skipped > 0)
    std::cerr << explanation.skipped << " log lines skipped: not decisions\n";
  if (explanation.lines.empty()) {
    std::cerr << "no log line mentions " << id << "\n";
    return kExitFindings;
  }
  std::cout << report::ExplanationTable(explanation);
  return kExitOk;
}

}  // namespace parsleyhitch
