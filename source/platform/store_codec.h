// The platform's store: topics, records and pages as bytes.

#ifndef PARSLEYHITCH_PLATFORM_STORE_CODEC_H_
#define PARSLEYHITCH_PLATFORM_STORE_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/base.h"

namespace parsleyhitch::platform {

// One record of a keyed topic. An empty value drops the key.
struct keyed_record {
  const std::uint64_t offset = 0;
  const std::string key;
  const std::string value;
  bool operator==(const keyed_record&) const = default;
};

struct log_page {
  // Offset that the next record will get, and the first one still kept.
  const std::uint64_t end = 0;
  const std::uint64_t first = 0;
  const std::vector<keyed_record> records{};
  bool operator==(const log_page&) const = default;
};

struct newest_page {
  const std::uint64_t end = 0;
  const bool has_more = false;
  const std::vector<keyed_record> records{};
  bool operator==(const newest_page&) const = default;
};

// One record as it goes into the body of an append.
std::string EncodeKeyed(std::string_view key, std::string_view value);

// A page of a log whose first record has the offset `from`.
wire::result<log_page> DecodeLogPage(std::string_view body, std::uint64_t from);

wire::result<newest_page> DecodeNewestPage(std::string_view body);

// The offset after the last record of a stored append.
wire::result<std::uint64_t> DecodeEnd(std::string_view body);

// Why a call was refused; empty when the body doesn't say.
std::string DecodeReason(std::string_view body);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_STORE_CODEC_H_
