// What the codecs share: results that carry findings, and text in JSON.

#ifndef PARSLEYHITCH_WIRE_BASE_H_
#define PARSLEYHITCH_WIRE_BASE_H_

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "model/finding.h"

namespace parsleyhitch::wire {

// An error carries model::findings.
template <typename T>
using result = boost::leaf::result<T>;

// Runs `attempt` and gives its value to `on_value`, or its findings to
// `on_faults`. Both return the same type.
template <typename Attempt, typename OnValue, typename OnFaults>
auto Handle(Attempt&& attempt, OnValue&& on_value, OnFaults&& on_faults) {
  using outcome = decltype(on_faults(std::declval<const model::findings&>()));
  return boost::leaf::try_handle_all(
      [&]() -> result<outcome> {
        BOOST_LEAF_AUTO(value, attempt());
        return on_value(std::move(value));
      },
      [&](const model::findings& faults) -> outcome {
        return on_faults(faults);
      },
      [&]() -> outcome { return on_faults(model::findings()); });
}

// The value of the attempt, or nothing.
template <typename Attempt>
auto ValueOf(Attempt&& attempt) {
  using value = std::remove_cvref_t<decltype(*attempt())>;
  return Handle(
      attempt,
      [](value found) { return std::optional<value>(std::move(found)); },
      [](const model::findings&) { return std::optional<value>(); });
}

// The error of one finding about a whole input.
boost::leaf::error_id Malformed(std::string message);

namespace detail {

// Text that is not UTF-8 becomes {"hex": "..."}.
nlohmann::ordered_json EncodeText(const std::string& text);
std::string DecodeText(const nlohmann::ordered_json& source,
                       const std::string& place,
                       model::findings& faults);

}  // namespace detail

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_BASE_H_
