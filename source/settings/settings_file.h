// Settings in YAML.

#ifndef PARSLEYHITCH_SETTINGS_SETTINGS_FILE_H_
#define PARSLEYHITCH_SETTINGS_SETTINGS_FILE_H_

#include <string>

#include "settings/settings.h"
#include "wire/base.h"

namespace parsleyhitch::settings {

// The checked settings, or every finding with line and column.
wire::result<settings> ParseSettings(const std::string& text);

// True when the text has a key that only settings have; else it is a manifest.
bool LooksLikeSettings(const std::string& text);

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_SETTINGS_FILE_H_
