// Encodings of the platform's log, generated from the type descriptions.

#include "wire/log_codec.h"

#include <utility>

#include "wire/json_codec.h"
#include "wire/proto_codec.h"

namespace parsleyhitch::wire {

PARSLEYHITCH_DESCRIBE(log_page, first_offset, end_offset, from, records)
PARSLEYHITCH_DESCRIBE(log_position, offset)

std::string EncodeBatch(const model::batch& batch) {
  return ToProto(batch);
}

model::logged_batch DecodeBatch(std::uint64_t offset, std::string_view bytes) {
  result<model::batch> decoded = FromProto<model::batch>(bytes);
  if (!decoded)
    return {.offset = offset, .content = {}};
  return {.offset = offset, .content = std::move(*decoded)};
}

std::string EncodeLogPage(const log_page& page) {
  return ToJson(page);
}

result<log_page> DecodeLogPage(std::string_view text) {
  return FromJson<log_page>(text);
}

std::string EncodeLogPosition(const log_position& position) {
  return ToJson(position);
}

result<log_position> DecodeLogPosition(std::string_view text) {
  return FromJson<log_position>(text);
}

}  // namespace parsleyhitch::wire
