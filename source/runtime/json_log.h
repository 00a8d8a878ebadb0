// The log of a process: one JSON object a line, on standard error.

#ifndef PARSLEYHITCH_RUNTIME_JSON_LOG_H_
#define PARSLEYHITCH_RUNTIME_JSON_LOG_H_

#include <string>

#include "model/effect.h"

namespace parsleyhitch::runtime {

// Sets the form of every line; `process` names the writer on each.
void StartJsonLog(const std::string& process);

void WriteJsonLog(const model::write_log_line& line);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_JSON_LOG_H_
