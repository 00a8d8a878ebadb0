// Encodes orders to workers as HTTP requests and decodes the outcomes into
// events.

#ifndef PARSLEYHITCH_PLATFORM_WORKER_CALLS_H_
#define PARSLEYHITCH_PLATFORM_WORKER_CALLS_H_

#include "platform/store_calls.h"
#include "wire/http_exchange.h"
#include "work/effect.h"

namespace parsleyhitch::platform {

// The URL is built from the worker's address in the effect.
wire::http_request RequestFor(const work::start_run& effect);
wire::http_request RequestFor(const work::stop_run& effect);
wire::http_request RequestFor(const work::hold_worker& effect);

// `at` is the time at which the outcome became known.
decoded_event DecodeOutcome(const work::start_run& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at);
decoded_event DecodeOutcome(const work::stop_run& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at);
decoded_event DecodeOutcome(const work::hold_worker& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_WORKER_CALLS_H_
