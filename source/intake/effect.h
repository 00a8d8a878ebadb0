// Outputs of the intake's reducer.

#ifndef PARSLEYHITCH_INTAKE_EFFECT_H_
#define PARSLEYHITCH_INTAKE_EFFECT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "intake/event.h"
#include "work/effect.h"

namespace parsleyhitch::intake {

// Answers a request that was not passed on, and closes its connection.
struct refuse_request {
  const connection_id connection;
  const std::uint32_t status = 0;
  const std::string reason;
  bool operator==(const refuse_request&) const = default;
};

struct close_connection {
  const connection_id connection;
  bool operator==(const close_connection&) const = default;
};

// Has a server listen anew, as it accepts no connection any more.
struct reopen_listener {
  const std::uint32_t server = 0;
  bool operator==(const reopen_listener&) const = default;
};

using effect = std::variant<refuse_request,
                            close_connection,
                            reopen_listener,
                            work::count_metric,
                            work::write_log>;
using effects = std::vector<effect>;

}  // namespace parsleyhitch::intake

#endif  // PARSLEYHITCH_INTAKE_EFFECT_H_
