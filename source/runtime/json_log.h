// The log of a process: one JSON object a line, on standard output.

#ifndef PARSLEYHITCH_RUNTIME_JSON_LOG_H_
#define PARSLEYHITCH_RUNTIME_JSON_LOG_H_

#include <string>

#include "model/effect.h"
#include "work/effect.h"

namespace parsleyhitch::runtime {

// Sets the form of every line; `process` names the writer on each.
void StartJsonLog(const std::string& process);

void WriteJsonLog(const model::write_log_line& line);

// Lines beyond the budget of their decision are counted and left out.
void WriteJsonLog(const work::write_log& line);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_JSON_LOG_H_
