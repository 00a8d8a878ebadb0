// Every side effect that the dispatcher's reducer can request, as data. The
// runtime performs the effects in order and makes no decisions of its own.

#ifndef PARSLEYHITCH_WORK_EFFECT_H_
#define PARSLEYHITCH_WORK_EFFECT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "work/event.h"

namespace parsleyhitch::work {

// Reads the items of a feed from position `from` on.
struct read_feed {
  const call_number call = 0;
  const feed source = feed::kRecords;
  const std::uint64_t from = 0;
  // Long poll: the store delays its answer by at most this while there is
  // nothing new.
  const duration wait{0};
  // The read fails when no byte arrives for this long. A read that makes
  // progress is not broken off: on a narrow link it would never end.
  const duration timeout{0};
  bool operator==(const read_feed&) const = default;
};

// Reads one page of the newest item of each key.
struct read_newest {
  const call_number call = 0;
  const feed source = feed::kRecords;
  // The key after which the page starts; empty for the first page.
  const std::string after;
  // As for `read_feed`.
  const duration timeout{0};
  bool operator==(const read_newest&) const = default;
};

// Appends all records or none. Idempotent: a retry with the same epoch and
// sequence is not applied twice.
struct append_records {
  const call_number call = 0;
  const std::string writer;
  const std::uint64_t epoch = 0;
  const std::uint64_t sequence = 0;
  const std::vector<record> records{};
  const duration timeout{0};
  // The stream to which the records are appended.
  const feed target = feed::kRecords;
  bool operator==(const append_records&) const = default;
};

// The worker that an order is sent to, and the fencing token that authorises
// it.
struct order_target {
  const worker_id worker;
  const std::string address;
  const std::uint64_t token = 0;
  // When the sender's authority expires unless it is renewed. A process that
  // was paused since the order was decided must not send it afterwards.
  const timestamp valid_until{};
  bool operator==(const order_target&) const = default;
};

struct start_run {
  const call_number call = 0;
  const order_target target{};
  const task_id task;
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
  const task_id task;
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

struct send_to_peer {
  const std::string address;
  const peer_message message{};
  bool operator==(const send_to_peer&) const = default;
};

struct answer_client {
  const call_number call = 0;
  const client_answer content{};
  bool operator==(const answer_client&) const = default;
};

// Sets the wake-up timer, replacing the pending one.
struct wake_at {
  const timestamp at;
  bool operator==(const wake_at&) const = default;
};

struct log_field {
  const std::string name;
  const std::string value;
  bool operator==(const log_field&) const = default;
};

enum class log_level { kInfo, kWarning };

// Logs one decision with its subject and the inputs it was based on.
struct write_log {
  const log_level level = log_level::kInfo;
  const std::string decision;
  // The job, worker or peer that the decision concerns.
  const std::string subject;
  const std::vector<log_field> fields{};
  bool operator==(const write_log&) const = default;
};

struct count_metric {
  const std::string name;
  const std::uint64_t increment = 1;
  bool operator==(const count_metric&) const = default;
};

struct set_gauge {
  const std::string name;
  const std::uint64_t value = 0;
  bool operator==(const set_gauge&) const = default;
};

struct observe_latency {
  const std::string name;
  const duration value{0};
  bool operator==(const observe_latency&) const = default;
};

struct stop_process {
  bool operator==(const stop_process&) const = default;
};

using effect = std::variant<read_feed,
                            read_newest,
                            append_records,
                            start_run,
                            stop_run,
                            hold_worker,
                            send_to_peer,
                            answer_client,
                            wake_at,
                            write_log,
                            count_metric,
                            set_gauge,
                            observe_latency,
                            stop_process>;

using effects = std::vector<effect>;

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_EFFECT_H_
