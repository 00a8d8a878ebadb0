// A validation error with its location in the input. Validation collects all
// findings and reports them together.

#ifndef PARSLEYHITCH_MODEL_FINDING_H_
#define PARSLEYHITCH_MODEL_FINDING_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace parsleyhitch::model {

struct finding {
  // A field path such as "/workspaces/0/name"; empty for the whole input.
  const std::string place;
  const std::string message;
  // Position in a file, from 1; 0 if the input has no lines.
  const std::uint32_t line = 0;
  const std::uint32_t column = 0;

  bool operator==(const finding&) const = default;
};

using findings = std::vector<finding>;

inline findings OneFinding(std::string place, std::string message) {
  findings found;
  found.push_back({.place = std::move(place), .message = std::move(message)});
  return found;
}

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_FINDING_H_
