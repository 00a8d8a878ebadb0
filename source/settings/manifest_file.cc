// Parses a manifest from YAML and validates it.

#include "settings/manifest_file.h"

#include <utility>

#include "scheduler/manifest_rules.h"
#include "settings/yaml_source.h"
#include "wire/json_codec.h"

namespace parsleyhitch::settings {

wire::result<model::manifest> ParseManifest(const std::string& text) {
  const yaml_source source = ParseYaml(text);
  model::findings findings = source.findings;
  if (!findings.empty())
    return boost::leaf::new_error(std::move(findings));
  auto manifest =
      wire::detail::DecodeJson<model::manifest>(source.content, "", findings);
  for (const model::finding& each : scheduler::CheckManifest(manifest))
    findings.push_back(each);
  if (!findings.empty())
    return boost::leaf::new_error(LocateFindings(source, findings));
  return manifest;
}

}  // namespace parsleyhitch::settings
