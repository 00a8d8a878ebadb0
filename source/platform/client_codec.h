// Decodes callers' HTTP requests in the platform's format and encodes the
// replies.

#ifndef PARSLEYHITCH_PLATFORM_CLIENT_CODEC_H_
#define PARSLEYHITCH_PLATFORM_CLIENT_CODEC_H_

#include <optional>

#include "wire/api.h"
#include "work/call.h"

namespace parsleyhitch::platform {

// Decodes a request; empty if its method is not POST, GET or DELETE. Errors in
// the body are reported in the `faults` of the call.
std::optional<work::client_call> DecodeCall(const wire::http_call& call);

wire::http_reply ReplyTo(const work::client_answer& answer);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_CLIENT_CODEC_H_
