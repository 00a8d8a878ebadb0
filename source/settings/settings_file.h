// Reads settings from YAML.

#ifndef PARSLEYHITCH_SETTINGS_SETTINGS_FILE_H_
#define PARSLEYHITCH_SETTINGS_SETTINGS_FILE_H_

#include <string>

#include "settings/settings.h"
#include "wire/base.h"

namespace parsleyhitch::settings {

// The validated settings, or all findings with line and column.
wire::result<settings> ParseSettings(const std::string& text);

// True if the text has a key that occurs in settings but not in manifests.
bool LooksLikeSettings(const std::string& text);

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_SETTINGS_FILE_H_
