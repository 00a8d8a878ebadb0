// The leader's orders to workers, and the answers to them. An order is an
// effect, and its answer an event, of the entry that sends it: the leader
// itself, or a proxy to which the leader forwards it.

#ifndef PARSLEYHITCH_WORK_ORDER_H_
#define PARSLEYHITCH_WORK_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "work/worker.h"

namespace parsleyhitch::work {

// Identifies one request within this process: an order, read or append that it
// sent, or a client call that it received.
using call_number = std::uint64_t;

// The worker that an order is sent to, and the fencing token that authorises
// it.
struct order_target {
  const worker_id worker{};
  const std::string address;
  const std::uint64_t token = 0;
  // When the sender's authority expires unless it is renewed. A process that
  // was paused since the order was decided must not send it afterwards.
  const timestamp valid_until{};
  // Empty from senders of older versions.
  const failure_domain_id failure_domain{};
  bool operator==(const order_target&) const = default;
};

struct start_run {
  const call_number call = 0;
  const order_target target{};
  const task_id task{};
  const std::uint64_t attempt = 0;
  const std::string spec;
  const std::string checkpoint;
  // On the worker's clock: when the lease expires the worker kills all its
  // tasks, unless `hold_worker` renewed the lease.
  const duration lease_until{0};
  const duration timeout{0};
  bool operator==(const start_run&) const = default;
};

struct stop_run {
  const call_number call = 0;
  const order_target target{};
  const task_id task{};
  const std::uint64_t attempt = 0;
  const duration timeout{0};
  bool operator==(const stop_run&) const = default;
};

// Renews the lease of all tasks on the worker, acknowledges ended tasks and
// asks for the lists of running and ended tasks.
struct hold_worker {
  const call_number call = 0;
  const order_target target{};
  // On the worker's clock; absent while that clock is unknown.
  const std::optional<duration> lease_until{};
  // Ended tasks up to this `ended_task::number` are acknowledged.
  const std::uint64_t acknowledged = 0;
  // Long poll: the worker delays its answer by at most this while no task ends.
  const duration wait{0};
  const duration timeout{0};
  bool operator==(const hold_worker&) const = default;
};

enum class order_outcome {
  kDone,
  kFenced,     // the worker saw a higher token
  kOutdated,   // an attempt with this or a higher number ended there
  kTooLate,    // the order's deadline had passed on the worker's clock, or its
               // failure domain was evacuated before it was sent
  kNoRoom,     // the worker lacks the capacity
  kRefused,    // the worker is unhealthy or can't read the order; nothing done
  kRestarted,  // another process answers at the worker's address
  kUnknown,
  kDisconnected,  // unknown too; the worker refused or closed the connection
};

// True when it is not known whether the order was carried out.
inline bool IsUnknown(order_outcome outcome) {
  return outcome == order_outcome::kUnknown ||
         outcome == order_outcome::kDisconnected;
}

struct start_answered {
  const timestamp at{};
  const call_number call = 0;
  const worker_id worker{};
  const order_outcome outcome = order_outcome::kUnknown;
  const std::optional<duration> worker_clock{};
  bool operator==(const start_answered&) const = default;
};

struct stop_answered {
  const timestamp at{};
  const call_number call = 0;
  const worker_id worker{};
  const order_outcome outcome = order_outcome::kUnknown;
  bool operator==(const stop_answered&) const = default;
};

struct hold_answered {
  const timestamp at{};
  const call_number call = 0;
  const worker_id worker{};
  const order_outcome outcome = order_outcome::kUnknown;
  const std::optional<duration> worker_clock{};
  const std::optional<worker_listing> listing{};
  bool operator==(const hold_answered&) const = default;
};

using order = std::variant<start_run, stop_run, hold_worker>;
using order_answer = std::variant<start_answered, stop_answered, hold_answered>;

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_ORDER_H_
