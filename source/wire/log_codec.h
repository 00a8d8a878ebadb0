// Encodings of the platform's log: batches as protobuf, pages of records and
// positions as JSON.

#ifndef PARSLEYHITCH_WIRE_LOG_CODEC_H_
#define PARSLEYHITCH_WIRE_LOG_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "model/record.h"
#include "wire/base.h"

namespace parsleyhitch::wire {

// The response to a read: consecutive records that start at offset `from`.
struct log_page {
  const std::uint64_t first_offset = 0;
  const std::uint64_t end_offset = 0;
  const std::uint64_t from = 0;
  const std::vector<std::string> records{};
  bool operator==(const log_page&) const = default;
};

// The response to an append: the offset of the appended record.
struct log_position {
  const std::uint64_t offset = 0;
  bool operator==(const log_position&) const = default;
};

std::string EncodeBatch(const model::batch& batch);

// Bytes that are not a batch, such as a record of another program, are decoded
// as a batch without records at the same offset.
model::logged_batch DecodeBatch(std::uint64_t offset, std::string_view bytes);

std::string EncodeLogPage(const log_page& page);
result<log_page> DecodeLogPage(std::string_view text);

std::string EncodeLogPosition(const log_position& position);
result<log_position> DecodeLogPosition(std::string_view text);

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_LOG_CODEC_H_
