// Functions shared by the parts of the reducer that handle requests.

#ifndef PARSLEYHITCH_SCHEDULER_REQUESTS_H_
#define PARSLEYHITCH_SCHEDULER_REQUESTS_H_

#include <cstdint>
#include <string>

#include "scheduler/reduce_parts.h"

namespace parsleyhitch::scheduler::detail {

// The cost of one retry, in hundredths of a token.
inline constexpr std::uint32_t kRetryTokenHundredths = 100;

// Replaces the progress of an open request.
step SetProgress(step step, model::call_number call, request_progress progress);

// Adds an open request to the queue.
step Enqueue(step step, model::call_number call);

// Removes a request from the queue; no effect if it is not queued.
step Dequeue(step step, model::call_number call);

// Answers the caller and removes the request. If this entry holds the claim on
// its key, finishes the claim with the outcome of the answer.
step CloseRequest(const environment& environment,
                  step step,
                  model::call_number call,
                  model::answer answer);

// The answer to a request that got no answer from an endpoint. States whether
// the request may have been run.
model::answer RefusalOf(const environment& environment,
                        const request_progress& progress,
                        model::answer_kind kind,
                        std::string why);

// Claims the key of a non-idempotent request, or waits for the result if the
// key is already claimed.
step ClaimKey(const environment& environment,
              step step,
              model::call_number call);

// Appends the result of a claimed request to the log.
step FinishClaim(const environment& environment,
                 step step,
                 const open_request& request,
                 model::request_result result);

// Removes an ended call from the endpoint's load, and ejects the endpoint after
// too many consecutive failures.
step EndEndpointCall(const environment& environment,
                     step step,
                     model::call_number call,
                     bool succeeded);

}  // namespace parsleyhitch::scheduler::detail

#endif  // PARSLEYHITCH_SCHEDULER_REQUESTS_H_
