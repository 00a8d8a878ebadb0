// What the codecs share: results that carry findings, and text in JSON.

#ifndef PARSLEYHITCH_WIRE_BASE_H_
#define PARSLEYHITCH_WIRE_BASE_H_

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "model/finding.h"

namespace parsleyhitch::wire {

// An error carries model::findings.
template <typename T>
using result = boost::leaf::result<T>;

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
