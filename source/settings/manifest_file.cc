// Parses a manifest from YAML and validates it.

#include "settings/manifest_file.h"

#include <utility>

#include "scheduler/manifest_rules.h"
#include "settings/yaml_source.h"
#include "wire/json_codec.h"

namespace parsleyhitch::settings {

wire::result<model::manifest> ParseManifest(const std::string& text) {
  const yaml_source source = ParseYaml(text);
  model::findings faults = source.faults;
  if (!faults.empty())
    return boost::leaf::new_error(std::move(faults));
  auto manifest =
      wire::detail::DecodeJson<model::manifest>(source.content, "", faults);
  for (const model::finding& each : scheduler::CheckManifest(manifest))
    faults.push_back(each);
  if (!faults.empty())
    return boost::leaf::new_error(LocateFindings(source, faults));
  return manifest;
}

}  // namespace parsleyhitch::settings
