// The platform log's encodings: batches as protobuf, pages of records as JSON.

#ifndef PARSLEYHITCH_WIRE_LOG_CODEC_H_
#define PARSLEYHITCH_WIRE_LOG_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "model/record.h"
#include "wire/base.h"

namespace parsleyhitch::wire {

// The log's answer to a read: records from `from` on.
struct log_page {
  const std::uint64_t first_offset = 0;
  const std::uint64_t end_offset = 0;
  const std::uint64_t from = 0;
  const std::vector<std::string> records{};
  bool operator==(const log_page&) const = default;
};

// The log's answer to an append.
struct log_position {
  const std::uint64_t offset = 0;
  bool operator==(const log_position&) const = default;
};

std::string EncodeBatch(const model::batch& batch);

// Bytes that are no batch, such as a foreign record, become a batch of no
// records at their offset.
model::logged_batch DecodeBatch(std::uint64_t offset, std::string_view bytes);

std::string EncodeLogPage(const log_page& page);
result<log_page> DecodeLogPage(std::string_view text);

std::string EncodeLogPosition(const log_position& position);
result<log_position> DecodeLogPosition(std::string_view text);

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_LOG_CODEC_H_
