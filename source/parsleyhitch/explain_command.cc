// parsleyhitch explain: what logs tell of one request.

#include "parsleyhitch/explain_command.h"

#include <iostream>
#include <optional>

#include "parsleyhitch/exit_codes.h"
#include "parsleyhitch/output.h"
#include "report/explain.h"

namespace parsleyhitch {

int RunExplain(const command_input& input) {
  if (input.arguments.size() < 2) {
    std::cerr << "needs a request's ID and log files\n";
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
  const report::explanation found = report::Explain(logs, id);
  if (found.skipped > 0)
    std::cerr << found.skipped << " lines are no decisions\n";
  if (found.lines.empty()) {
    std::cerr << "no line names " << id << "\n";
    return kExitFindings;
  }
  std::cout << report::ExplanationTable(found);
  return kExitOk;
}

}  // namespace parsleyhitch
