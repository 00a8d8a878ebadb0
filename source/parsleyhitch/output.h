// Input and output shared by the commands.

#ifndef PARSLEYHITCH_PARSLEYHITCH_OUTPUT_H_
#define PARSLEYHITCH_PARSLEYHITCH_OUTPUT_H_

#include <optional>
#include <string>

#include "model/finding.h"

namespace parsleyhitch {

// Returns the file's text. Prints an error and returns nothing if it can't be
// read.
std::optional<std::string> ReadFile(const std::string& path);

// Prints one line per finding ("file:line:column: place message") or a JSON
// array.
void PrintFindings(const std::string& file,
                   const model::findings& findings,
                   bool json);

// Prints an entry's JSON reply as a table of its fields, or unchanged.
void PrintReply(const std::string& body, bool json);

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_OUTPUT_H_
