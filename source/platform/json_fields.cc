// Reads JSON members with type checks.

#include "platform/json_fields.h"

#include <cmath>
#include <utility>

namespace parsleyhitch::platform {

namespace {

constexpr double kPermille = 1000.0;
// 2^53: above this, a double does not represent every integer exactly.
constexpr double kMaxExactInteger = 9007199254740992.0;

const nlohmann::json& EmptyObject() {
  static const nlohmann::json empty = nlohmann::json::object();
  return empty;
}

}  // namespace

nlohmann::json ParseJson(std::string_view text) {
  return nlohmann::json::parse(text, nullptr, false);
}

std::optional<std::uint64_t> NumberOf(const nlohmann::json& value) {
  const bool valid = value.is_number() && value.get<double>() >= 0 &&
                     value.get<double>() <= kMaxExactInteger;
  if (!valid)
    return {};
  return value.is_number_float()
             ? static_cast<std::uint64_t>(value.get<double>())
             : value.get<std::uint64_t>();
}

json_fields::json_fields(const nlohmann::json& object,
                         std::string place,
                         model::findings& findings)
    : object_(object.is_object() ? object : EmptyObject()),
      place_(std::move(place)),
      findings_(findings) {
  if (!object.is_object())
    findings_.push_back({.place = place_, .message = "must be an object"});
}

const nlohmann::json* json_fields::Find(const char* name) const {
  const auto found = object_.find(name);
  return found == object_.end() || found->is_null() ? nullptr : &*found;
}

void json_fields::AddFinding(const char* name, std::string message) const {
  findings_.push_back(
      {.place = place_ + "/" + name, .message = std::move(message)});
}

bool json_fields::Has(const char* name) const {
  return Find(name) != nullptr;
}

std::string json_fields::String(const char* name) const {
  const nlohmann::json* found = Find(name);
  if (found == nullptr)
    return {};
  if (found->is_string())
    return found->get<std::string>();
  AddFinding(name, "must be a string");
  return {};
}

std::string json_fields::RequiredString(const char* name) const {
  std::string text = String(name);
  if (text.empty())
    AddFinding(name, "must be a string that is not empty");
  return text;
}

std::uint64_t json_fields::Number(const char* name,
                                  std::uint64_t default_value) const {
  const nlohmann::json* found = Find(name);
  if (found == nullptr)
    return default_value;
  const std::optional<std::uint64_t> number = NumberOf(*found);
  if (number)
    return *number;
  AddFinding(name, "must be a number of at least 0");
  return default_value;
}

std::uint64_t json_fields::Permille(const char* name,
                                    std::uint64_t default_value) const {
  const nlohmann::json* found = Find(name);
  if (found == nullptr)
    return default_value;
  const bool valid = found->is_number() && found->get<double>() >= 0 &&
                     found->get<double>() <= kMaxExactInteger / kPermille;
  if (valid)
    return static_cast<std::uint64_t>(
        std::lround(found->get<double>() * kPermille));
  AddFinding(name, "must be a number of at least 0");
  return default_value;
}

bool json_fields::Boolean(const char* name) const {
  const nlohmann::json* found = Find(name);
  if (found == nullptr)
    return false;
  if (found->is_boolean())
    return found->get<bool>();
  AddFinding(name, "must be true or false");
  return false;
}

void json_fields::ForEach(
    const char* name,
    const std::function<void(const nlohmann::json& element,
                             const std::string& place)>& visit) const {
  const nlohmann::json* found = Find(name);
  if (found == nullptr)
    return;
  if (!found->is_array()) {
    AddFinding(name, "must be a list");
    return;
  }
  std::size_t index = 0;
  for (const nlohmann::json& element : *found) {
    visit(element, place_ + "/" + name + "/" + std::to_string(index));
    ++index;
  }
}

json_fields json_fields::Object(const char* name) const {
  const nlohmann::json* found = Find(name);
  return {found == nullptr ? EmptyObject() : *found, place_ + "/" + name,
          findings_};
}

}  // namespace parsleyhitch::platform
