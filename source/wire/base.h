// Shared by all codecs: results that carry findings as errors, and the encoding
// of strings in JSON.

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

// A value, or an error that carries model::findings.
template <typename T>
using result = boost::leaf::result<T>;

// Runs `attempt`, which returns a `result`, and passes its value to `on_value`
// or its findings to `on_findings`. Both return the same type.
template <typename Attempt, typename OnValue, typename OnFindings>
auto Handle(Attempt&& attempt, OnValue&& on_value, OnFindings&& on_findings) {
  using outcome = decltype(on_findings(std::declval<const model::findings&>()));
  return boost::leaf::try_handle_all(
      [&]() -> result<outcome> {
        BOOST_LEAF_AUTO(value, attempt());
        return on_value(std::move(value));
      },
      [&](const model::findings& findings) -> outcome {
        return on_findings(findings);
      },
      [&]() -> outcome { return on_findings(model::findings()); });
}

// Runs `attempt`, which returns a `result`, and returns its value; empty on
// error. The findings are dropped.
template <typename Attempt>
auto ValueOf(Attempt&& attempt) {
  using value = std::remove_cvref_t<decltype(*attempt())>;
  return Handle(
      attempt,
      [](value found) { return std::optional<value>(std::move(found)); },
      [](const model::findings&) { return std::optional<value>(); });
}

// A new error with a single finding that concerns the whole input.
boost::leaf::error_id Malformed(std::string message);

namespace detail {

// A string that is not valid UTF-8 is encoded as {"hex": "..."}.
nlohmann::ordered_json EncodeText(const std::string& text);
std::string DecodeText(const nlohmann::ordered_json& source,
                       const std::string& place,
                       model::findings& findings);

}  // namespace detail

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_BASE_H_
