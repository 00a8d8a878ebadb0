// Callers' HTTP in the platform's form.

#ifndef PARSLEYHITCH_PLATFORM_CLIENT_CODEC_H_
#define PARSLEYHITCH_PLATFORM_CLIENT_CODEC_H_

#include <optional>

#include "wire/api.h"
#include "work/call.h"

namespace parsleyhitch::platform {

// Nothing when the method is none that callers use.
std::optional<work::client_call> DecodeCall(const wire::http_call& call);

wire::http_reply ReplyTo(const work::client_answer& answer);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_CLIENT_CODEC_H_
