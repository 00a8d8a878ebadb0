// What commands print.

#include "parsleyhitch/output.h"

#include <fstream>
#include <initializer_list>
#include <iostream>
#include <sstream>
#include <string_view>

#include "wire/json_codec.h"

namespace parsleyhitch {

namespace {

std::string Join(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts)
    text += part;
  return text;
}

void PrintRows(const wire::json& value, const std::string& path) {
  if (value.is_object()) {
    for (const auto& [name, each] : value.items())
      PrintRows(each, path.empty() ? name : Join({path, ".", name}));
    return;
  }
  if (value.is_array()) {
    std::size_t index = 0;
    for (const wire::json& each : value)
      PrintRows(each, path + "[" + std::to_string(index++) + "]");
    return;
  }
  constexpr std::size_t kColumn = 40;
  const std::string padding(path.size() < kColumn ? kColumn - path.size() : 1,
                            ' ');
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
                   const model::findings& faults,
                   bool json) {
  if (json) {
    std::cout << wire::ToJson(faults) << "\n";
    return;
  }
  for (const model::finding& each : faults) {
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
  PrintRows(value, "");
}

}  // namespace parsleyhitch
