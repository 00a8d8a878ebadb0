// Comma-separated lists on the command line.

#ifndef PARSLEYHITCH_SETTINGS_COMMA_LIST_H_
#define PARSLEYHITCH_SETTINGS_COMMA_LIST_H_

#include <sstream>
#include <string>
#include <vector>

namespace parsleyhitch::settings {

// The elements of the list; an empty text has none.
inline std::vector<std::string> SplitByComma(const std::string& text) {
  std::vector<std::string> elements;
  std::stringstream stream(text);
  std::string element;
  while (std::getline(stream, element, ','))
    elements.push_back(element);
  return elements;
}

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_COMMA_LIST_H_
