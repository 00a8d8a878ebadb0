// Effects on the store as HTTP calls, and their outcomes as events.

#ifndef PARSLEYHITCH_PLATFORM_STORE_CALLS_H_
#define PARSLEYHITCH_PLATFORM_STORE_CALLS_H_

#include <string>

#include "model/finding.h"
#include "wire/http_exchange.h"
#include "work/effect.h"

namespace parsleyhitch::platform {

// An event, and what was left out of it because it could not be read.
struct decoded_event {
  const work::event event;
  const model::findings skipped{};
};

wire::http_request RequestFor(const std::string& store,
                              const work::append_records& effect);
wire::http_request RequestFor(const std::string& store,
                              const work::read_feed& effect);
wire::http_request RequestFor(const std::string& store,
                              const work::read_newest& effect);

decoded_event EventOf(const work::append_records& effect,
                      const wire::http_outcome& outcome,
                      work::timestamp at);
decoded_event EventOf(const work::read_feed& effect,
                      const wire::http_outcome& outcome,
                      work::timestamp at);
decoded_event EventOf(const work::read_newest& effect,
                      const wire::http_outcome& outcome,
                      work::timestamp at);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_STORE_CALLS_H_
