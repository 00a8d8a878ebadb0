// Client requests and the responses to them, independent of any encoding.

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
  // How long the caller waits for an answer; zero when it did not say.
  const duration patience{0};
  // Set for a submission only: the parsed job, or the findings in it.
  const std::optional<job_request> request{};
  const model::findings faults{};

  bool operator==(const client_call&) const = default;
};

enum class answer_kind {
  kAccepted,    // the job or its cancellation is stored
  kState,       // answers with the phase of a job
  kWaiting,     // answers with the number of jobs that have not started
  kInvalid,     // the call is malformed; see `faults`
  kNoKey,       // no workspace has this API key
  kNoQueue,     // no queue serves this host and path
  kNoJob,       // the job does not exist
  kNotRun,      // refused; this call never causes the job to run
  kNotSettled,  // unknown whether the call took effect
};

struct client_answer {
  const answer_kind kind = answer_kind::kNotRun;
  const job_phase phase = job_phase::kQueued;
  const std::uint64_t waiting = 0;
  const model::findings faults{};
  // Set for a refusal only: when the caller should retry.
  const duration retry_after{0};

  bool operator==(const client_answer&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_CALL_H_
