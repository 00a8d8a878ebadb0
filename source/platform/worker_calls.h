// Orders to workers as HTTP calls, and their outcomes as events.

#ifndef PARSLEYHITCH_PLATFORM_WORKER_CALLS_H_
#define PARSLEYHITCH_PLATFORM_WORKER_CALLS_H_

#include "platform/store_calls.h"
#include "wire/http_exchange.h"
#include "work/effect.h"

namespace parsleyhitch::platform {

wire::http_request RequestFor(const work::start_run& effect);
wire::http_request RequestFor(const work::stop_run& effect);
wire::http_request RequestFor(const work::hold_worker& effect);

decoded_event EventOf(const work::start_run& effect,
                      const wire::http_outcome& outcome,
                      work::timestamp at);
decoded_event EventOf(const work::stop_run& effect,
                      const wire::http_outcome& outcome,
                      work::timestamp at);
decoded_event EventOf(const work::hold_worker& effect,
                      const wire::http_outcome& outcome,
                      work::timestamp at);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_WORKER_CALLS_H_
