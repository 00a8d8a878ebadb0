// Control messages to a worker's stand-in and the journal that it returns,
// shared with the tests.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_JOURNAL_H_
#define PARSLEYHITCH_TESTS_STAND_INS_JOURNAL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "model/message.h"
#include "wire/json_codec.h"

namespace parsleyhitch::stand_ins {

// How the endpoint answers requests: normally, not at all, with another
// request's attempt ID, or with status 500.
enum class answer_mode { kWhole, kNone, kCrossed, kFailed };
BOOST_DESCRIBE_ENUM(answer_mode, kWhole, kNone, kCrossed, kFailed)

// Replaces all earlier faults.
struct worker_control {
  const bool fails_tasks = false;
  const bool ignores_checkpoints = false;
  const bool leaving = false;
  // Time until the endpoint answers.
  const std::int64_t answer_ms = 1;
  const answer_mode answers = answer_mode::kWhole;
};
PARSLEYHITCH_DESCRIBE(worker_control,
                      fails_tasks,
                      ignores_checkpoints,
                      leaving,
                      answer_ms,
                      answers)

// One change of a task's state.
struct journal_task {
  const model::job_id job;
  const model::fence token = 0;
  const model::task_state state = model::task_state::kPending;
  const model::timestamp at;
};
PARSLEYHITCH_DESCRIBE(journal_task, job, token, state, at)

// One request that the endpoint ran; `key` is its idempotency key, if any.
struct journal_run {
  const std::string key;
  const std::string body;
  const model::timestamp at;
};
PARSLEYHITCH_DESCRIBE(journal_run, key, body, at)

struct worker_journal {
  const std::vector<journal_task> tasks{};
  const std::vector<journal_run> runs{};
};
PARSLEYHITCH_DESCRIBE(worker_journal, tasks, runs)

inline wire::result<worker_control> DecodeWorkerControl(
    const std::string& text) {
  return wire::FromJson<worker_control>(text);
}

inline std::string EncodeJournal(const worker_journal& journal) {
  return wire::ToJson(journal);
}

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_JOURNAL_H_
