// Converts YAML to JSON and keeps the line and column of each value, so that
// findings can report them.

#ifndef PARSLEYHITCH_SETTINGS_YAML_SOURCE_H_
#define PARSLEYHITCH_SETTINGS_YAML_SOURCE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "model/finding.h"

namespace parsleyhitch::settings {

// 1-based position in the text.
struct text_position {
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

// A parsed YAML document.
struct yaml_source {
  nlohmann::ordered_json content;
  // By JSON pointer. For members of a map, the position of the key.
  std::map<std::string, text_position> positions;
  // Syntax errors and duplicate keys.
  model::findings findings;
};

yaml_source ParseYaml(const std::string& text);

// Adds line and column to findings that have none, and sorts all findings by
// position.
model::findings LocateFindings(const yaml_source& source,
                               const model::findings& findings);

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_YAML_SOURCE_H_
