// Input and output shared by the commands.

#include "parsleyhitch/output.h"

#include <fstream>
#include <initializer_list>
#include <iostream>
#include <sstream>
#include <string_view>

#include "wire/json_codec.h"

namespace parsleyhitch {

namespace {

std::string Concatenate(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts)
    text += part;
  return text;
}

void PrintFields(const wire::json& value, const std::string& path) {
  if (value.is_object()) {
    for (const auto& [name, each] : value.items())
      PrintFields(each, path.empty() ? name : Concatenate({path, ".", name}));
    return;
  }
  if (value.is_array()) {
    std::size_t index = 0;
    for (const wire::json& each : value)
      PrintFields(each, path + "[" + std::to_string(index++) + "]");
    return;
  }
  constexpr std::size_t kValueColumn = 40;
  const std::string padding(
      path.size() < kValueColumn ? kValueColumn - path.size() : 1, ' ');
  std::cout << path << padding
            << (value.is_string() ? value.get<std::string>() : value.dump())
            << "\n";
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "can't read '" << path << "'\n";
    return {};
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void PrintFindings(const std::string& file,
                   const model::findings& findings,
                   bool json) {
  if (json) {
    std::cout << wire::ToJson(findings) << "\n";
    return;
  }
  for (const model::finding& each : findings) {
    std::cout << file << ":" << each.line << ":" << each.column << ": "
              << each.place << " " << each.message << "\n";
  }
}

void PrintReply(const std::string& body, bool json) {
  const wire::json value = wire::json::parse(body, nullptr, false);
  if (json || value.is_discarded()) {
    std::cout << body << (body.ends_with('\n') ? "" : "\n");
    return;
  }
  PrintFields(value, "");
}

}  // namespace parsleyhitch
