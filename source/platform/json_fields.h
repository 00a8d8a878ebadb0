// Typed access to the members of a JSON object; faults are collected with their
// place.

#ifndef PARSLEYHITCH_PLATFORM_JSON_FIELDS_H_
#define PARSLEYHITCH_PLATFORM_JSON_FIELDS_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "model/finding.h"

namespace parsleyhitch::platform {

// Nothing when the text is not JSON.
nlohmann::json ParseJson(std::string_view text);

// One JSON object being read. Members that are absent or null give the default;
// members of another type are faults.
class json_fields {
 public:
  json_fields(const nlohmann::json& object,
              std::string place,
              model::findings& faults);

  std::string Text(const char* name) const;
  // Must be a string that is not empty.
  std::string RequiredText(const char* name) const;
  // A whole number of at least 0; fractions are cut off.
  std::uint64_t Number(const char* name, std::uint64_t absent = 0) const;
  // A number as thousandths.
  std::uint64_t Permille(const char* name, std::uint64_t absent) const;
  bool Flag(const char* name) const;
  // Visits each element of a list with its place.
  void ForEach(
      const char* name,
      const std::function<void(const nlohmann::json& element,
                               const std::string& place)>& visit) const;
  // The member object; an empty object when it is absent.
  json_fields Object(const char* name) const;

  bool Has(const char* name) const;
  void Fault(const char* name, std::string message) const;

 private:
  const nlohmann::json* Find(const char* name) const;

  const nlohmann::json& object_;
  const std::string place_;
  model::findings& faults_;
};

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_JSON_FIELDS_H_
