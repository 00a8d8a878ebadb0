// Typed access to the members of a JSON object. Type errors are collected as
// findings, each with the JSON pointer of the offending value.

#ifndef PARSLEYHITCH_PLATFORM_JSON_FIELDS_H_
#define PARSLEYHITCH_PLATFORM_JSON_FIELDS_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "model/finding.h"

namespace parsleyhitch::platform {

// Parses JSON. The result is discarded (`is_discarded()`) if the text is not
// valid JSON.
nlohmann::json ParseJson(std::string_view text);

// The value as a non-negative integer of at most 2^53, truncated; empty for any
// other.
std::optional<std::uint64_t> NumberOf(const nlohmann::json& value);

// A view of one JSON object, which must outlive it. A member that is absent or
// null yields the default; a member of the wrong type yields the default and
// adds a finding.
class json_fields {
 public:
  json_fields(const nlohmann::json& object,
              std::string place,
              model::findings& findings);

  std::string String(const char* name) const;
  // A missing or empty string is a finding.
  std::string RequiredString(const char* name) const;
  // A non-negative number, truncated to an integer; at most 2^53.
  std::uint64_t Number(const char* name, std::uint64_t default_value = 0) const;
  // A non-negative number in thousandths, rounded.
  std::uint64_t Permille(const char* name, std::uint64_t default_value) const;
  bool Boolean(const char* name) const;
  // Visits the elements of a list with the JSON pointer of each.
  void ForEach(
      const char* name,
      const std::function<void(const nlohmann::json& element,
                               const std::string& place)>& visit) const;
  // A nested object; empty if the member is absent.
  json_fields Object(const char* name) const;

  bool Has(const char* name) const;
  void AddFinding(const char* name, std::string message) const;

 private:
  const nlohmann::json* Find(const char* name) const;

  const nlohmann::json& object_;
  const std::string place_;
  model::findings& findings_;
};

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_JSON_FIELDS_H_
