// Protobuf encoding of the dispatcher's store records and peer messages.

#ifndef PARSLEYHITCH_WIRE_WORK_CODEC_H_
#define PARSLEYHITCH_WIRE_WORK_CODEC_H_

#include <string>
#include <string_view>

#include "wire/base.h"
#include "work/peer_message.h"
#include "work/record.h"

namespace parsleyhitch::wire {

std::string EncodeRecord(const work::record& record);
result<work::record> DecodeRecord(std::string_view bytes);

std::string EncodeMessage(const work::peer_message& message);
result<work::peer_message> DecodeMessage(std::string_view bytes);

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_WORK_CODEC_H_
