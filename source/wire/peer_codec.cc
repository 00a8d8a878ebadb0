// Encoding of messages between entries.

#include "wire/peer_codec.h"

#include "wire/proto_codec.h"

namespace parsleyhitch::wire {

std::string EncodePeerMessage(const model::peer_message& message) {
  return ToProto(message);
}

result<model::peer_message> DecodePeerMessage(std::string_view bytes) {
  return FromProto<model::peer_message>(bytes);
}

}  // namespace parsleyhitch::wire
