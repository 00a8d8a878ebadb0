// Structured log of a process: one JSON object per line, on standard output.

#ifndef PARSLEYHITCH_RUNTIME_JSON_LOG_H_
#define PARSLEYHITCH_RUNTIME_JSON_LOG_H_

#include <string>

#include "model/effect.h"
#include "work/effect.h"

namespace parsleyhitch::runtime {

// Configures the logger; `process` is written on every line.
void StartJsonLog(const std::string& process);

void WriteJsonLog(const model::write_log_line& line);

// Rate-limited per decision: excess lines are dropped, and the next line
// written carries their number as `left_out`.
void WriteJsonLog(const work::write_log& line);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_JSON_LOG_H_
