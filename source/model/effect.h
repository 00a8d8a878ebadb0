// Effects that the reducer returns, as data. The runtime performs them in order
// and makes no decisions of its own.
//
// An entry is one process of the scheduler: it accepts calls, appends to the
// platform's log and reads it.

#ifndef PARSLEYHITCH_MODEL_EFFECT_H_
#define PARSLEYHITCH_MODEL_EFFECT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/event.h"
#include "model/identifier.h"
#include "model/message.h"
#include "model/record.h"
#include "model/time.h"

namespace parsleyhitch::model {

struct append_batch {
  const batch content{};
  const duration timeout{0};
  bool operator==(const append_batch&) const = default;
};

// Long poll for the batches at offset `from` and above: with no such batch yet,
// the log delays its answer for up to `wait`.
struct read_log {
  const std::uint64_t from = 0;
  const duration wait{0};
  const duration timeout{0};
  bool operator==(const read_log&) const = default;
};

struct read_vm_list {
  const duration timeout{0};
  bool operator==(const read_vm_list&) const = default;
};

struct send_to_peer {
  const entry_id to;
  const peer_message message{};
  bool operator==(const send_to_peer&) const = default;
};

struct call_worker {
  const worker_id worker;
  const std::string address;
  const std::uint64_t call = 0;
  const worker_sync sync{};
  const duration timeout{0};
  bool operator==(const call_worker&) const = default;
};

struct call_endpoint {
  const std::string address;
  const call_number call = 0;
  const std::uint32_t attempt = 0;
  const service_id target;
  const idempotency_key key;
  const std::string body;
  const duration timeout{0};
  bool operator==(const call_endpoint&) const = default;
};

struct answer_caller {
  const call_number call = 0;
  const answer content{};
  bool operator==(const answer_caller&) const = default;
};

// Schedules the next `wake_due` event. There is a single timer: the effect
// replaces a time set earlier.
struct wake_at {
  const timestamp at;
  bool operator==(const wake_at&) const = default;
};

enum class severity { kInfo, kWarning };

struct write_log_line {
  const severity level = severity::kInfo;
  const std::string message;
  const std::string subject;
  bool operator==(const write_log_line&) const = default;
};

// Records a completed request for the latency histograms and the burn rate of
// the service's error budget.
struct observe_request {
  const service_id target;
  const duration latency{0};
  // True when the endpoint's complete answer went to the caller.
  const bool whole_answer = false;
  bool operator==(const observe_request&) const = default;
};

struct count_metric {
  const std::string name;
  const std::uint64_t increment = 1;
  bool operator==(const count_metric&) const = default;
};

struct stop_process {
  bool operator==(const stop_process&) const = default;
};

using effect = std::variant<append_batch,
                            read_log,
                            read_vm_list,
                            send_to_peer,
                            call_worker,
                            call_endpoint,
                            answer_caller,
                            wake_at,
                            write_log_line,
                            observe_request,
                            count_metric,
                            stop_process>;

using effects = std::vector<effect>;

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_EFFECT_H_
