// Plain scalars that are a JSON number, `true` or `false` are converted to that
// type; quoted scalars remain strings.

#include "settings/yaml_source.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "wire/json_codec.h"

namespace parsleyhitch::settings {

namespace {

using json = nlohmann::ordered_json;

constexpr char kQuotedTag[] = "!";

text_position PositionOf(const YAML::Mark& mark) {
  return {.line = static_cast<std::uint32_t>(mark.line + 1),
          .column = static_cast<std::uint32_t>(mark.column + 1)};
}

json ConvertScalar(const YAML::Node& node) {
  const std::string& text = node.Scalar();
  if (node.Tag() == kQuotedTag)
    return text;
  if (text == "true" || text == "false")
    return text == "true";
  const json number = json::parse(text, nullptr, false);
  return number.is_number() ? number : json(text);
}

class converter {
 public:
  explicit converter(yaml_source& source) : source_(source) {}

  json Convert(const YAML::Node& node, const std::string& place) {
    source_.positions.emplace(place, PositionOf(node.Mark()));
    if (node.IsMap())
      return ConvertMap(node, place);
    if (node.IsSequence())
      return ConvertList(node, place);
    return node.IsScalar() ? ConvertScalar(node) : json();
  }

 private:
  json ConvertMap(const YAML::Node& node, const std::string& place) {
    json object = json::object();
    for (const auto& pair : node) {
      const std::string key = pair.first.Scalar();
      const std::string key_place = wire::detail::ChildPlace(place, key);
      if (object.contains(key)) {
        const text_position position = PositionOf(pair.first.Mark());
        source_.findings.push_back({.place = key_place,
                                    .message = "is a duplicate key",
                                    .line = position.line,
                                    .column = position.column});
      }
      source_.positions[key_place] = PositionOf(pair.first.Mark());
      object[key] = Convert(pair.second, key_place);
    }
    return object;
  }

  json ConvertList(const YAML::Node& node, const std::string& place) {
    json list = json::array();
    for (const auto& each : node)
      list.push_back(Convert(
          each, wire::detail::ChildPlace(place, std::to_string(list.size()))));
    return list;
  }

  yaml_source& source_;
};

// The position of the value at `place`, or of the nearest enclosing value that
// has one.
text_position FindPosition(const yaml_source& source, std::string place) {
  while (true) {
    const auto found = source.positions.find(place);
    if (found != source.positions.end())
      return found->second;
    const std::size_t slash = place.rfind('/');
    if (slash == std::string::npos)
      return {.line = 1, .column = 1};
    place.resize(slash);
  }
}

}  // namespace

yaml_source ParseYaml(const std::string& text) {
  yaml_source source;
  try {
    source.content = converter(source).Convert(YAML::Load(text), "");
  } catch (const YAML::Exception& error) {
    const text_position position = PositionOf(error.mark);
    source.findings.push_back({.message = error.msg,
                               .line = position.line,
                               .column = position.column});
  }
  return source;
}

model::findings LocateFindings(const yaml_source& source,
                               const model::findings& findings) {
  std::vector<std::pair<text_position, const model::finding*>> located;
  for (const model::finding& each : findings) {
    const text_position known{.line = each.line, .column = each.column};
    located.emplace_back(
        each.line == 0 ? FindPosition(source, each.place) : known, &each);
  }
  std::ranges::stable_sort(located, {}, [](const auto& each) {
    return std::pair(each.first.line, each.first.column);
  });
  model::findings result;
  for (const auto& [position, finding] : located) {
    result.push_back({.place = finding->place,
                      .message = finding->message,
                      .line = position.line,
                      .column = position.column});
  }
  return result;
}

}  // namespace parsleyhitch::settings
