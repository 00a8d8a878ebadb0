// Reads manifests from YAML.

#ifndef PARSLEYHITCH_SETTINGS_MANIFEST_FILE_H_
#define PARSLEYHITCH_SETTINGS_MANIFEST_FILE_H_

#include <string>

#include "model/manifest.h"
#include "wire/base.h"

namespace parsleyhitch::settings {

// The validated manifest, or all findings with line and column.
wire::result<model::manifest> ParseManifest(const std::string& text);

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_MANIFEST_FILE_H_
