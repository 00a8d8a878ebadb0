// Calls of callers, and the answers to them, free of any encoding.

#ifndef PARSLEYHITCH_WORK_CALL_H_
#define PARSLEYHITCH_WORK_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/finding.h"
#include "work/job.h"

namespace parsleyhitch::work {

enum class call_verb { kSubmit, kRead, kCancel };

struct client_call {
  const call_verb verb = call_verb::kRead;
  const std::string host;
  const std::string path;
  const std::string key;
  // How long the caller waits; zero when it did not say.
  const duration patience{0};
  // Of a submission: what is asked for, or what is wrong with it.
  const std::optional<job_request> request{};
  const model::findings faults{};

  bool operator==(const client_call&) const = default;
};

enum class answer_kind {
  kAccepted,    // a job is stored, or its cancellation is
  kState,       // the phase of a job
  kWaiting,     // the number of jobs that have not begun
  kInvalid,     // faults in the call
  kNoKey,       // the key is unknown
  kNoQueue,     // no queue has this path
  kNoJob,       // no such job
  kNotRun,      // refused; the job never runs because of this call
  kNotSettled,  // whether the call took effect is not known
};

struct client_answer {
  const answer_kind kind = answer_kind::kNotRun;
  const job_phase phase = job_phase::kQueued;
  const std::uint64_t waiting = 0;
  const model::findings faults{};
  // Of a refusal: when to come back.
  const duration retry_after{0};

  bool operator==(const client_answer&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_CALL_H_
