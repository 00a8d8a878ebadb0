// Encodes records and messages, generated from the type descriptions.

#include "wire/work_codec.h"

#include "wire/proto_codec.h"
#include "wire/work_describe.h"

namespace parsleyhitch::wire {

std::string EncodeRecord(const work::record& record) {
  return ToProto(record);
}

result<work::record> DecodeRecord(std::string_view bytes) {
  return FromProto<work::record>(bytes);
}

std::string EncodeMessage(const work::peer_message& message) {
  return ToProto(message);
}

result<work::peer_message> DecodeMessage(std::string_view bytes) {
  return FromProto<work::peer_message>(bytes);
}

}  // namespace parsleyhitch::wire
