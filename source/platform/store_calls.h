// Encodes store effects as HTTP requests and decodes the outcomes into events.

#ifndef PARSLEYHITCH_PLATFORM_STORE_CALLS_H_
#define PARSLEYHITCH_PLATFORM_STORE_CALLS_H_

#include <cstdint>
#include <string>

#include "model/finding.h"
#include "wire/http_exchange.h"
#include "work/effect.h"

namespace parsleyhitch::platform {

// An event, and findings on input that was skipped because it could not be
// decoded, or on the error response of an append.
struct decoded_event {
  const work::event event;
  const model::findings findings{};
};

// The bytes that the record takes in the body of an append.
std::uint64_t EncodedBytes(const work::record& record);

// `store` is the "ip:port" of the store.
wire::http_request RequestFor(const std::string& store,
                              const work::append_records& effect);
wire::http_request RequestFor(const std::string& store,
                              const work::read_feed& effect);
wire::http_request RequestFor(const std::string& store,
                              const work::read_newest& effect);

// `at` is the time at which the outcome became known.
decoded_event DecodeOutcome(const work::append_records& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at);
decoded_event DecodeOutcome(const work::read_feed& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at);
decoded_event DecodeOutcome(const work::read_newest& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_STORE_CALLS_H_
