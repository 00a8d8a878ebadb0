// Every side effect that the dispatcher's reducer can request, as data. The
// runtime performs the effects in order and makes no decisions of its own.

#ifndef PARSLEYHITCH_WORK_EFFECT_H_
#define PARSLEYHITCH_WORK_EFFECT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "work/event.h"
#include "work/order.h"

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
