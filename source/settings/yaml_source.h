// A YAML text as JSON, with the place of each value in the text, so that
// findings can name line and column.

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

struct yaml_source {
  nlohmann::ordered_json content;
  std::map<std::string, text_position> positions;
  // Faults of the YAML itself: syntax errors and keys used twice.
  model::findings faults;
};

yaml_source ReadYaml(const std::string& text);

// The findings with line and column of their places, in the order of the text.
model::findings Locate(const yaml_source& source,
                       const model::findings& faults);

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_YAML_SOURCE_H_
