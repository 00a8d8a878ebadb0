// A record is a 4-byte big-endian length followed by that many bytes. In keyed
// topics these are the key's length in 1 byte, the key and the value.

#include "platform/store_codec.h"

#include <algorithm>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/endian/conversion.hpp>
#include <cctype>
#include <optional>
#include <utility>

#include "platform/json_fields.h"

namespace parsleyhitch::platform {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kMaxKeyBytes = 255;

const unsigned char* AsBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::uint64_t ReadOffset(std::string_view bytes) {
  return boost::endian::load_big_u64(AsBytes(bytes));
}

// Empty if the text is not base64.
std::optional<std::string> DecodeBase64(std::string text) {
  using boost::archive::iterators::binary_from_base64;
  using boost::archive::iterators::transform_width;
  using decoder =
      transform_width<binary_from_base64<std::string::const_iterator>, 8, 6>;
  while (!text.empty() && text.back() == '=')
    text.pop_back();
  const bool valid = std::ranges::all_of(text, [](unsigned char letter) {
    return std::isalnum(letter) != 0 || letter == '+' || letter == '/';
  });
  if (!valid)
    return {};
  const std::size_t byte_count = text.size() * 6 / 8;
  std::string bytes;
  bytes.reserve(byte_count);
  auto at = decoder(text.cbegin());
  for (std::size_t i = 0; i < byte_count; ++i)
    bytes.push_back(static_cast<char>(*at++));
  return bytes;
}

// The key and value of one record. Both are empty if the record is malformed.
keyed_record DecodeKeyedRecord(std::uint64_t offset, std::string_view content) {
  if (content.empty())
    return {.offset = offset};
  const std::size_t key_bytes = AsBytes(content)[0];
  if (content.size() < 1 + key_bytes)
    return {.offset = offset};
  return {.offset = offset,
          .key = std::string(content.substr(1, key_bytes)),
          .value = std::string(content.substr(1 + key_bytes))};
}

}  // namespace

std::string EncodeKeyedRecord(std::string_view key, std::string_view value) {
  const std::string_view stored_key = key.substr(0, kMaxKeyBytes);
  std::string record(kLengthBytes, '\0');
  boost::endian::store_big_u32(
      reinterpret_cast<unsigned char*>(record.data()),
      static_cast<std::uint32_t>(1 + stored_key.size() + value.size()));
  record.push_back(static_cast<char>(stored_key.size()));
  record.append(stored_key);
  record.append(value);
  return record;
}

wire::result<log_page> DecodeLogPage(std::string_view body,
                                     std::uint64_t from) {
  if (body.size() < 2 * kOffsetBytes)
    return wire::Malformed("is shorter than a page header");
  const std::uint64_t end = ReadOffset(body);
  const std::uint64_t first = ReadOffset(body.substr(kOffsetBytes));
  std::string_view rest = body.substr(2 * kOffsetBytes);
  std::vector<keyed_record> records;
  std::uint64_t offset = from;
  while (rest.size() >= kLengthBytes) {
    const std::uint32_t length = boost::endian::load_big_u32(AsBytes(rest));
    rest.remove_prefix(kLengthBytes);
    if (rest.size() < length)
      return wire::Malformed("ends within a record");
    records.push_back(DecodeKeyedRecord(offset, rest.substr(0, length)));
    rest.remove_prefix(length);
    ++offset;
  }
  return log_page{.end = end, .first = first, .records = std::move(records)};
}

wire::result<newest_page> DecodeNewestPage(std::string_view body) {
  const nlohmann::json source = ParseJson(body);
  if (source.is_discarded())
    return wire::Malformed("is not valid JSON");
  model::findings findings;
  model::findings unreadable;
  const json_fields root(source, "", findings);
  std::vector<keyed_record> records;
  root.ForEach(
      "items", [&](const nlohmann::json& element, const std::string& place) {
        model::findings of_item;
        const json_fields item(element, place, of_item);
        std::string key = item.String("key");
        const std::uint64_t offset = item.Number("offset");
        std::optional<std::string> value = DecodeBase64(item.String("value"));
        if (!value)
          item.AddFinding("value", "must be base64");
        if (of_item.empty()) {
          records.push_back({.offset = offset,
                             .key = std::move(key),
                             .value = std::move(*value)});
        }
        for (const model::finding& each : of_item)
          unreadable.push_back(each);
      });
  const std::uint64_t end = root.Number("end");
  const bool has_more = root.Boolean("hasMore");
  if (!findings.empty())
    return boost::leaf::new_error(std::move(findings));
  // The next page starts after a key of this one.
  if (has_more && records.empty() && !unreadable.empty())
    return boost::leaf::new_error(std::move(unreadable));
  return newest_page{.end = end,
                     .has_more = has_more,
                     .records = std::move(records),
                     .unreadable = std::move(unreadable)};
}

wire::result<std::uint64_t> DecodeEndOffset(std::string_view body) {
  const nlohmann::json source = ParseJson(body);
  if (source.is_discarded())
    return wire::Malformed("is not valid JSON");
  model::findings findings;
  const std::uint64_t end = json_fields(source, "", findings).Number("end");
  if (!findings.empty())
    return boost::leaf::new_error(std::move(findings));
  return end;
}

std::string DecodeErrorReason(std::string_view body) {
  const nlohmann::json source = ParseJson(body);
  model::findings findings;
  return source.is_object() ? json_fields(source, "", findings).String("reason")
                            : std::string();
}

}  // namespace parsleyhitch::platform
