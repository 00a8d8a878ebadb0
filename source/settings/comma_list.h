// Lists on the command line: parts with commas between them.

#ifndef PARSLEYHITCH_SETTINGS_COMMA_LIST_H_
#define PARSLEYHITCH_SETTINGS_COMMA_LIST_H_

#include <sstream>
#include <string>
#include <vector>

namespace parsleyhitch::settings {

// The parts; none for an empty text.
inline std::vector<std::string> SplitByComma(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ','))
    parts.push_back(part);
  return parts;
}

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_COMMA_LIST_H_
