// Connects the intake's reducer to the connections of a process's HTTP servers.
// All of them share one budget.

#ifndef PARSLEYHITCH_RUNTIME_CLIENT_GATE_H_
#define PARSLEYHITCH_RUNTIME_CLIENT_GATE_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "intake/effect.h"
#include "intake/event.h"
#include "intake/limits.h"
#include "work/effect.h"

namespace parsleyhitch::runtime {

struct gate_hooks {
  // The limits in force; evaluated for each event.
  std::function<intake::limits()> limits;
  std::function<model::timestamp()> clock;
  std::function<void(const work::count_metric&)> count;
  std::function<void(const work::write_log&)> log;
};

// Acts on one connection. Called within the gate's functions and on its timer.
struct connection_hooks {
  std::function<void(const intake::refuse_request&)> refuse;
  std::function<void()> close;
};

namespace detail {
struct gate_state;
}

class client_gate {
 public:
  client_gate(asio::io_context& io, gate_hooks hooks);
  ~client_gate();
  client_gate(const client_gate&) = delete;
  client_gate& operator=(const client_gate&) = delete;

  // Returns the number that identifies a server in connection IDs. `reopen` has
  // it listen anew.
  std::uint32_t AddServer(std::function<void()> reopen);

  // `hooks` are called until the connection is closed, by either side.
  void Open(const intake::connection_id& connection,
            intake::listener accepted_by,
            const std::string& address,
            connection_hooks hooks);

  // Reduces an event and performs its effects.
  void Post(const intake::event& event);
  // Ignores all further events; the hooks are not called any more. Connections
  // may outlive what the hooks refer to.
  void Stop();

  // The time for an event.
  model::timestamp Now() const;

 private:
  std::shared_ptr<detail::gate_state> state_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_CLIENT_GATE_H_
