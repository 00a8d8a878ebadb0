// Inputs of the intake's reducer. Each carries the time at which it happened.

#ifndef PARSLEYHITCH_INTAKE_EVENT_H_
#define PARSLEYHITCH_INTAKE_EVENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "intake/limits.h"

namespace parsleyhitch::intake {

// Unique in a process. `server` numbers its HTTP servers.
struct connection_id {
  std::uint32_t server = 0;
  std::uint64_t number = 0;

  auto operator<=>(const connection_id&) const = default;
};

// How far the request that is being read has arrived. `kEmpty`: no byte but
// those of empty lines.
enum class reading : std::uint8_t {
  kEmpty,
  kHead,
  kBody,
  kComplete,
  kMalformed
};

struct connection_opened {
  const timestamp at;
  const connection_id connection;
  const listener accepted_by = listener::kCallers;
  // The client's IP address.
  const std::string address;
  bool operator==(const connection_opened&) const = default;
};

// What of a request, or of a peer's message, has arrived so far.
struct read_progress {
  const reading phase = reading::kEmpty;
  // Of the head, or of empty lines before it.
  const std::uint64_t head_bytes = 0;
  const std::uint64_t fields = 0;
  // The length that the head states or, if larger, what has arrived.
  const std::uint64_t body_bytes = 0;
  // Memory that holds the request.
  const std::uint64_t held_bytes = 0;
  bool operator==(const read_progress&) const = default;
};

// Bytes of a request have arrived.
struct request_read {
  const timestamp at;
  const connection_id connection;
  const read_progress progress;
  bool operator==(const request_read&) const = default;
};

// The request before, if any, has been answered, and the next is read.
struct request_awaited {
  const timestamp at;
  const connection_id connection;
  bool operator==(const request_awaited&) const = default;
};

// A reply of this size is about to be written.
struct reply_ready {
  const timestamp at;
  const connection_id connection;
  const std::uint64_t bytes = 0;
  bool operator==(const reply_ready&) const = default;
};

// The client's system has taken bytes of a reply.
struct reply_progressed {
  const timestamp at;
  const connection_id connection;
  bool operator==(const reply_progressed&) const = default;
};

// The client's system has taken a whole reply, or will not take it any more.
struct reply_written {
  const timestamp at;
  const connection_id connection;
  bool operator==(const reply_written&) const = default;
};

struct connection_closed {
  const timestamp at;
  const connection_id connection;
  bool operator==(const connection_closed&) const = default;
};

struct time_passed {
  const timestamp at;
  bool operator==(const time_passed&) const = default;
};

// A regular look at the listening socket of a server.
struct listener_checked {
  const timestamp at;
  const std::uint32_t server = 0;
  // Connections wait to be accepted, or the server does not listen.
  const bool waiting = false;
  // The process can open a descriptor.
  const bool descriptor_free = true;
  bool operator==(const listener_checked&) const = default;
};

using event = std::variant<connection_opened,
                           request_read,
                           request_awaited,
                           reply_ready,
                           reply_progressed,
                           reply_written,
                           connection_closed,
                           time_passed,
                           listener_checked>;

}  // namespace parsleyhitch::intake

#endif  // PARSLEYHITCH_INTAKE_EVENT_H_
