// Encodings of the platform's store: records of keyed topics, pages and error
// responses.

#ifndef PARSLEYHITCH_PLATFORM_STORE_CODEC_H_
#define PARSLEYHITCH_PLATFORM_STORE_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/base.h"

namespace parsleyhitch::platform {

// One record of a keyed topic. An empty value is a tombstone that deletes the
// key.
struct keyed_record {
  const std::uint64_t offset = 0;
  const std::string key;
  const std::string value;
  bool operator==(const keyed_record&) const = default;
};

// Consecutive records of a log.
struct log_page {
  // Offset of the next record to be appended.
  const std::uint64_t end = 0;
  // Offset of the oldest retained record.
  const std::uint64_t first = 0;
  const std::vector<keyed_record> records{};
  bool operator==(const log_page&) const = default;
};

// A page of the newest record of each key of a topic.
struct newest_page {
  // Offset of the next record to be appended.
  const std::uint64_t end = 0;
  const bool has_more = false;
  const std::vector<keyed_record> records{};
  // Of items that are left out.
  const model::findings unreadable{};
  bool operator==(const newest_page&) const = default;
};

// One record in the body of an append. Keys longer than 255 bytes are
// truncated.
std::string EncodeKeyedRecord(std::string_view key, std::string_view value);

// Decodes a page of a log; its first record has the offset `from`.
wire::result<log_page> DecodeLogPage(std::string_view body, std::uint64_t from);

wire::result<newest_page> DecodeNewestPage(std::string_view body);

// The end offset in the response to a successful append.
wire::result<std::uint64_t> DecodeEndOffset(std::string_view body);

// The `reason` in an error response; empty if there is none.
std::string DecodeErrorReason(std::string_view body);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_STORE_CODEC_H_
