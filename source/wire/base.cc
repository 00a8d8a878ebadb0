// Strings may hold any bytes, but JSON text must be UTF-8: others are encoded
// in hexadecimal.

#include "wire/base.h"

#include <google/protobuf/stubs/common.h>

#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <utility>

namespace parsleyhitch::wire {

boost::leaf::error_id Malformed(std::string message) {
  return boost::leaf::new_error(model::OneFinding("", std::move(message)));
}

namespace detail {

namespace {

constexpr char kHexMember[] = "hex";

bool IsUtf8(const std::string& text) {
  const nlohmann::ordered_json value = text;
  try {
    (void)value.dump();
    return true;
  } catch (const nlohmann::ordered_json::type_error&) {
    return false;
  }
}

}  // namespace

nlohmann::ordered_json EncodeText(const std::string& text) {
  if (IsUtf8(text))
    return text;
  nlohmann::ordered_json object;
  object[kHexMember] = boost::algorithm::hex(text);
  return object;
}

std::string DecodeText(const nlohmann::ordered_json& source,
                       const std::string& place,
                       model::findings& findings) {
  if (source.is_string())
    return source.get<std::string>();
  const bool is_hex = source.is_object() && source.size() == 1 &&
                      source.contains(kHexMember) &&
                      source[kHexMember].is_string();
  if (!is_hex) {
    findings.push_back({.place = place, .message = "must be a string"});
    return {};
  }
  try {
    return boost::algorithm::unhex(source[kHexMember].get<std::string>());
  } catch (const boost::algorithm::hex_decode_error&) {
    findings.push_back(
        {.place = place, .message = "must be hexadecimal digits"});
    return {};
  }
}

}  // namespace detail

}  // namespace parsleyhitch::wire
