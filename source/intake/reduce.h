// Decides which requests of clients are read on, and which connections stay
// open, by the limits and by what all connections hold together.

#ifndef PARSLEYHITCH_INTAKE_REDUCE_H_
#define PARSLEYHITCH_INTAKE_REDUCE_H_

#include <cstdint>
#include <map>
#include <string>

#include "intake/effect.h"
#include "intake/event.h"
#include "intake/limits.h"

namespace parsleyhitch::intake {

// `kPassed`: the request was passed on, and the next one is not read yet.
// `kRefused`: the refusal was written, and what the client still sends is
// discarded.
enum class phase : std::uint8_t { kIdle, kHead, kBody, kPassed, kRefused };

struct connection {
  listener accepted_by = listener::kCallers;
  std::string address;
  phase at_phase = phase::kIdle;
  // When the wait, the head or the refusal began.
  timestamp since;
  // When the connection last became idle, bytes of a request arrived or bytes
  // of a reply were taken.
  timestamp progress_at;
  // When it began to hold what it holds.
  timestamp held_since;
  std::uint64_t held_bytes = 0;
  // Replies that the client has not taken, whatever is read meanwhile, and
  // their part of `held_bytes`.
  std::uint32_t unwritten_replies = 0;
  std::uint64_t reply_bytes = 0;

  bool operator==(const connection&) const = default;
};

// The listening socket of a server, since it was last checked.
struct listening {
  std::uint64_t accepted = 0;
  // Connections waited at the last check.
  bool waiting = false;

  bool operator==(const listening&) const = default;
};

struct state {
  std::map<connection_id, connection> connections;
  // Keyed by server.
  std::map<std::uint32_t, listening> listeners;
  // The sum of all `held_bytes`.
  std::uint64_t held_bytes = 0;

  bool operator==(const state&) const = default;
};

struct step {
  state after;
  effects outcome;

  bool operator==(const step&) const = default;
};

step Reduce(const limits& limits, state state, const event& event);

}  // namespace parsleyhitch::intake

#endif  // PARSLEYHITCH_INTAKE_REDUCE_H_
