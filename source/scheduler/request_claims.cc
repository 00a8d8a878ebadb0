// Non-idempotent requests: a claim on the key is appended to the log first, and
// only the request with the earliest claim in log order is run. Others with the
// same key wait for its result.

#include <utility>

#include "scheduler/requests.h"

namespace parsleyhitch::scheduler::detail {

namespace {

model::scoped_key KeyOf(const open_request& request) {
  return {.owner = request.owner, .key = request.key};
}

model::writer Self(const environment& environment, const entry_state& state) {
  return {.entry = environment.me, .incarnation = state.incarnation};
}

step SetPhase(step step,
              model::call_number call,
              request_phase phase,
              bool claimed) {
  const request_progress old = *step.state.requests.progress.Find(call);
  return SetProgress(std::move(step), call,
                     {.phase = phase,
                      .attempt = old.attempt,
                      .ambiguous_attempts = old.ambiguous_attempts,
                      .worker = old.worker,
                      .claimed = claimed});
}

model::answer AnswerOf(const environment& environment,
                       const model::request_result& result) {
  if (result.outcome == model::request_outcome::kAnswered) {
    return {.kind = model::answer_kind::kAnswered,
            .endpoint_status = result.status,
            .body = result.body};
  }
  return RefusalOf(environment, {.ambiguous_attempts = 1},
                   model::answer_kind::kUnavailable,
                   "the request was sent earlier and its answer was lost");
}

model::answer KeyConflict() {
  return {.kind = model::answer_kind::kConflict,
          .ran = model::run_state::kNotRun,
          .faults = model::OneFinding("/key", "was used for another request")};
}

// Handles a request whose key is claimed: answers it with the claim's result,
// or waits for the result.
step FollowClaim(const environment& environment,
                 step step,
                 model::call_number call,
                 const model::request_claim& claim) {
  const open_request& request = *step.state.requests.open.Find(call);
  if (claim.digest != request.digest)
    return CloseRequest(environment, std::move(step), call, KeyConflict());
  if (claim.result) {
    return CloseRequest(environment, std::move(step), call,
                        AnswerOf(environment, *claim.result));
  }
  return SetPhase(std::move(step), call, request_phase::kAwaitingClaimHolder,
                  false);
}

// True if another request of this entry is claiming or running with the key.
bool IsBeingClaimed(const entry_state& state,
                    const std::set<model::call_number>& calls,
                    model::call_number self) {
  for (const model::call_number call : calls) {
    const request_progress* progress = state.requests.progress.Find(call);
    if (call != self && progress != nullptr &&
        progress->phase != request_phase::kAwaitingClaimHolder) {
      return true;
    }
  }
  return false;
}

step AddCallToKey(step step,
                  model::call_number call,
                  const model::scoped_key& key) {
  const std::set<model::call_number>* present =
      step.state.requests.by_key.Find(key);
  std::set<model::call_number> calls;
  if (present != nullptr)
    calls = *present;
  calls.insert(call);
  step.state.requests.by_key.Put(key, std::move(calls));
  return step;
}

}  // namespace

step ClaimKey(const environment& environment,
              step step,
              model::call_number call) {
  const open_request request = *step.state.requests.open.Find(call);
  const model::scoped_key key = KeyOf(request);
  step = AddCallToKey(std::move(step), call, key);
  const model::request_claim* claim = step.state.ledger.claims.Find(key);
  if (environment.behaviour.may_run_once(claim,
                                         Self(environment, step.state)) &&
      claim == nullptr) {
    return Enqueue(std::move(step), call);
  }
  if (claim != nullptr) {
    const model::request_claim followed = *claim;
    return FollowClaim(environment, std::move(step), call, followed);
  }
  if (IsBeingClaimed(step.state, *step.state.requests.by_key.Find(key), call))
    return SetPhase(std::move(step), call, request_phase::kAwaitingClaimHolder,
                    false);
  step = SetPhase(std::move(step), call, request_phase::kClaiming, false);
  const std::uint64_t incarnation = step.state.incarnation;
  return Append(std::move(step),
                model::request_claimed{.owner = request.owner,
                                       .key = request.key,
                                       .digest = request.digest,
                                       .by = environment.me,
                                       .incarnation = incarnation},
                {.kind = waiter_kind::kClaim, .call = call});
}

step FinishClaim(const environment& environment,
                 step step,
                 const open_request& request,
                 model::request_result result) {
  return Append(std::move(step),
                model::request_finished{.owner = request.owner,
                                        .key = request.key,
                                        .by = environment.me,
                                        .result = std::move(result)},
                {});
}

step OnClaimVerdict(const environment& environment,
                    step step,
                    const record_verdict& verdict,
                    model::call_number call) {
  const open_request* open = step.state.requests.open.Find(call);
  if (open != nullptr && verdict.accepted) {
    step = SetPhase(std::move(step), call, request_phase::kQueued, true);
    return Enqueue(std::move(step), call);
  }
  if (open != nullptr || !verdict.accepted)
    return step;
  // The caller was answered "not run" before the claim was read back: release
  // the key.
  const model::batch& batch = *step.state.log.in_flight.Get();
  const auto& claimed =
      std::get<model::request_claimed>(batch.records.at(verdict.index));
  return Append(std::move(step),
                model::request_finished{
                    .owner = claimed.owner,
                    .key = claimed.key,
                    .by = environment.me,
                    .result = {.outcome = model::request_outcome::kNotRun}},
                {});
}

step OnClaimChanged(const environment& environment,
                    step step,
                    const model::scoped_key& key) {
  const std::set<model::call_number>* present =
      step.state.requests.by_key.Find(key);
  if (present == nullptr)
    return step;
  const std::set<model::call_number> calls = *present;
  const model::writer self = Self(environment, step.state);
  for (const model::call_number call : calls) {
    const request_progress* progress = step.state.requests.progress.Find(call);
    if (progress == nullptr)
      continue;
    const model::request_claim* claim = step.state.ledger.claims.Find(key);
    const bool lost_race = progress->phase == request_phase::kClaiming &&
                           claim != nullptr &&
                           !environment.behaviour.may_run_once(claim, self);
    const bool is_waiting =
        progress->phase == request_phase::kAwaitingClaimHolder;
    if (claim != nullptr && (lost_race || is_waiting)) {
      const model::request_claim followed = *claim;
      step = FollowClaim(environment, std::move(step), call, followed);
    } else if (claim == nullptr && is_waiting) {
      step = ClaimKey(environment, std::move(step), call);
    }
  }
  return step;
}

}  // namespace parsleyhitch::scheduler::detail
