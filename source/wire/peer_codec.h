// Protobuf encoding of messages between entries.

#ifndef PARSLEYHITCH_WIRE_PEER_CODEC_H_
#define PARSLEYHITCH_WIRE_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "model/message.h"
#include "wire/base.h"

namespace parsleyhitch::wire {

std::string EncodePeerMessage(const model::peer_message& message);
result<model::peer_message> DecodePeerMessage(std::string_view bytes);

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_PEER_CODEC_H_
