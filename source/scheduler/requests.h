// Steps shared by the reducers of requests.

#ifndef PARSLEYHITCH_SCHEDULER_REQUESTS_H_
#define PARSLEYHITCH_SCHEDULER_REQUESTS_H_

#include <cstdint>
#include <string>

#include "scheduler/reduce_parts.h"

namespace parsleyhitch::scheduler::detail {

// One retry costs a token of a hundred hundredths.
inline constexpr std::uint32_t kRetryTokenHundredths = 100;

// Replaces the progress of an open request.
step SetProgress(step step, model::call_number call, request_progress progress);

// Puts an open request in line for an endpoint.
step Enqueue(step step, model::call_number call);

// Takes it out of the line again; nothing happens when it is not in it.
step Dequeue(step step, model::call_number call);

// Answers the caller and forgets the request. A claim that the entry holds is
// finished with `outcome`.
step CloseRequest(const environment& environment,
                  step step,
                  model::call_number call,
                  model::answer answer);

// The answer to a request that got none, truthful as to whether it was run.
model::answer RefusalOf(const environment& environment,
                        const request_progress& progress,
                        model::answer_kind kind,
                        std::string why);

// Begins to claim the key of a non-idempotent request, or joins those who wait
// for the entry that runs it.
step ClaimKey(const environment& environment,
              step step,
              model::call_number call);

// Tells the log how a claimed request ended.
step FinishClaim(const environment& environment,
                 step step,
                 const open_request& request,
                 model::request_result result);

// The call to an endpoint has ended: its load is taken off.
step EndEndpointCall(const environment& environment,
                     step step,
                     model::call_number call,
                     bool succeeded);

}  // namespace parsleyhitch::scheduler::detail

#endif  // PARSLEYHITCH_SCHEDULER_REQUESTS_H_
