// Events that an entry's reducer handles. Each carries the time at which it
// occurred; the reducer reads no clock.

#ifndef PARSLEYHITCH_MODEL_EVENT_H_
#define PARSLEYHITCH_MODEL_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/fleet.h"
#include "model/identifier.h"
#include "model/message.h"
#include "model/record.h"
#include "model/time.h"

namespace parsleyhitch::model {

// Identifies a caller's call at one entry. Not reused within an incarnation.
using call_number = std::uint64_t;

struct entry_started {
  const timestamp at;
  // Increases with each start of the same entry.
  const std::uint64_t incarnation = 0;
  const std::uint64_t seed = 0;
  bool operator==(const entry_started&) const = default;
};

struct wake_due {
  const timestamp at;
  bool operator==(const wake_due&) const = default;
};

struct log_read {
  const timestamp at;
  // The oldest offset that the log retains, and the offset that the next append
  // will get.
  const std::uint64_t first_offset = 0;
  const std::uint64_t end_offset = 0;
  const std::vector<logged_batch> batches{};
  bool operator==(const log_read&) const = default;
};

// A read of the log failed or timed out.
struct log_unread {
  const timestamp at;
  bool operator==(const log_unread&) const = default;
};

struct append_answered {
  const timestamp at;
  const std::uint64_t sequence = 0;
  const std::uint64_t offset = 0;
  bool operator==(const append_answered&) const = default;
};

// The append failed or timed out. It may have taken effect all the same.
struct append_unanswered {
  const timestamp at;
  const std::uint64_t sequence = 0;
  bool operator==(const append_unanswered&) const = default;
};

struct vm_list_read {
  const timestamp at;
  const std::vector<listed_vm> vms{};
  bool operator==(const vm_list_read&) const = default;
};

// A read of the VM list failed or timed out.
struct vm_list_unread {
  const timestamp at;
  bool operator==(const vm_list_unread&) const = default;
};

// A message arrived from another entry.
struct peer_heard {
  const timestamp at;
  const peer_message message{};
  bool operator==(const peer_heard&) const = default;
};

struct worker_answered {
  const timestamp at;
  const worker_id worker;
  const std::uint64_t call = 0;
  const worker_report report{};
  bool operator==(const worker_answered&) const = default;
};

struct worker_unanswered {
  const timestamp at;
  const worker_id worker;
  const std::uint64_t call = 0;
  bool operator==(const worker_unanswered&) const = default;
};

struct job_requested {
  const timestamp at;
  const call_number call = 0;
  const job_spec spec{};
  const timestamp deadline;
  bool operator==(const job_requested&) const = default;
};

struct job_cancel_requested {
  const timestamp at;
  const call_number call = 0;
  const job_id job;
  const timestamp deadline;
  bool operator==(const job_cancel_requested&) const = default;
};

struct job_read_requested {
  const timestamp at;
  const call_number call = 0;
  const job_id job;
  bool operator==(const job_read_requested&) const = default;
};

struct manifest_offered {
  const timestamp at;
  const call_number call = 0;
  const manifest proposed{};
  const timestamp deadline;
  bool operator==(const manifest_offered&) const = default;
};

struct status_requested {
  const timestamp at;
  const call_number call = 0;
  bool operator==(const status_requested&) const = default;
};

// Requests a graceful shutdown, either by a signal (`call` is 0) or by an
// operator's call.
struct drain_requested {
  const timestamp at;
  const call_number call = 0;
  bool operator==(const drain_requested&) const = default;
};

// A caller's request to a service.
struct request_received {
  const timestamp at;
  const call_number call = 0;
  const service_id target;
  const workspace_id owner;
  const bool idempotent = true;
  const idempotency_key key;
  // The epoch stands for no deadline given; the service's default applies.
  const timestamp deadline;
  const std::string body;
  bool operator==(const request_received&) const = default;
};

// The caller closed its connection before it was answered.
struct caller_gone {
  const timestamp at;
  const call_number call = 0;
  bool operator==(const caller_gone&) const = default;
};

struct endpoint_answered {
  const timestamp at;
  const call_number call = 0;
  const std::uint32_t attempt = 0;
  const std::uint32_t status = 0;
  // The endpoint announced that it is leaving.
  const bool leaving = false;
  const std::string body;
  bool operator==(const endpoint_answered&) const = default;
};

// The attempt ended without a complete answer. `sent` is false only if no byte
// of the request can have reached the endpoint, so that a retry is safe.
struct endpoint_unanswered {
  const timestamp at;
  const call_number call = 0;
  const std::uint32_t attempt = 0;
  const bool sent = true;
  bool operator==(const endpoint_unanswered&) const = default;
};

using event = std::variant<entry_started,
                           wake_due,
                           log_read,
                           log_unread,
                           append_answered,
                           append_unanswered,
                           vm_list_read,
                           vm_list_unread,
                           peer_heard,
                           worker_answered,
                           worker_unanswered,
                           job_requested,
                           job_cancel_requested,
                           job_read_requested,
                           manifest_offered,
                           status_requested,
                           drain_requested,
                           request_received,
                           caller_gone,
                           endpoint_answered,
                           endpoint_unanswered>;

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_EVENT_H_
