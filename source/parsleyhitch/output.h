// What commands print.

#ifndef PARSLEYHITCH_PARSLEYHITCH_OUTPUT_H_
#define PARSLEYHITCH_PARSLEYHITCH_OUTPUT_H_

#include <optional>
#include <string>

#include "model/finding.h"

namespace parsleyhitch {

// The file's text; nothing, with a message, when it can't be read.
std::optional<std::string> ReadFile(const std::string& path);

// A line for each finding: "file:line:column: place message".
void PrintFindings(const std::string& file,
                   const model::findings& faults,
                   bool json);

// An entry's JSON reply, as a table of its fields or as it is.
void PrintReply(const std::string& body, bool json);

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_OUTPUT_H_
