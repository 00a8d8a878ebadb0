// Requests to services: admission, answers, retries and deadlines. A request
// has one of three outcomes: the endpoint's complete answer, "not run"
// (guaranteed), or "outcome unknown".

#include <algorithm>
#include <optional>
#include <utility>

#include "scheduler/manifest_rules.h"
#include "scheduler/requests.h"

namespace parsleyhitch::scheduler::detail {

namespace {

constexpr std::uint32_t kServiceUnavailable = 503;
constexpr std::uint32_t kFirstServerError = 500;

// A refusal that states that the request was not run.
model::answer NotRunRefusal(const environment& environment,
                            model::answer_kind kind,
                            std::string why) {
  return RefusalOf(environment, {}, kind, std::move(why));
}

model::findings CheckRequest(const model::request_received& event,
                             const model::ledger& ledger) {
  model::findings found;
  const model::manifest* manifest = ledger.in_force.Get();
  if (manifest == nullptr || FindService(*manifest, event.target) == nullptr) {
    found.push_back({.place = "/service",
                     .message = "no service '" + event.target.value() + "'"});
  }
  if (manifest == nullptr || FindWorkspace(*manifest, event.owner) == nullptr) {
    found.push_back({.place = "/workspace",
                     .message = "no workspace '" + event.owner.value() + "'"});
  }
  if (!event.idempotent && event.key.empty()) {
    found.push_back(
        {.place = "/key",
         .message = "a non-idempotent request needs an idempotency key"});
  }
  return found;
}

std::uint32_t OpenCountOf(const entry_state& state,
                          const model::workspace_id& owner) {
  const std::uint32_t* open = state.requests.by_workspace.Find(owner);
  return open == nullptr ? 0 : *open;
}

step UpdateOpenCount(step step, const model::workspace_id& owner, bool opened) {
  const std::uint32_t before = OpenCountOf(step.state, owner);
  const std::uint32_t after = opened ? before + 1 : before - 1;
  if (after == 0)
    step.state.requests.by_workspace.Erase(owner);
  else
    step.state.requests.by_workspace.Put(owner, after);
  return step;
}

// Expected time until a new request of this importance is answered: the queue
// ahead of it, spread over all slots, plus its own call.
model::duration ExpectedWait(const requests_state& requests,
                             model::importance rank) {
  const auto own = static_cast<std::size_t>(rank);
  model::duration ahead{0};
  for (std::size_t i = own; i < requests.queued.size(); ++i)
    ahead += requests.mean_call_time.at(i) * requests.queued.at(i);
  return ahead / requests.total_slots + requests.mean_call_time.at(own);
}

request_view ViewOf(const open_request& request) {
  return {.rank = request.rank,
          .received = request.received,
          .deadline = request.deadline};
}

// True if the queue is so long that the request is expected to miss its
// deadline. Refusing it at once lets the caller try elsewhere in time.
bool WouldMissDeadline(const entry_state& state,
                       model::importance rank,
                       model::timestamp deadline) {
  if (state.requests.total_slots == 0)
    return false;
  return state.now + ExpectedWait(state.requests, rank) > deadline;
}

// The refusal if the request is not admitted; otherwise empty.
std::optional<model::answer> AdmissionRefusal(
    const environment& environment,
    const entry_state& state,
    const model::request_received& event,
    const open_request& request) {
  if (request.deadline <= state.now)
    return NotRunRefusal(environment, model::answer_kind::kDeadline,
                         "the deadline has passed");
  const model::workspace& owner =
      *FindWorkspace(*state.ledger.in_force.Get(), event.owner);
  if (owner.max_requests != 0 &&
      OpenCountOf(state, event.owner) >= owner.max_requests) {
    return NotRunRefusal(environment, model::answer_kind::kOverloaded,
                         "the workspace has too many requests open");
  }
  if (environment.behaviour.may_shed(ViewOf(request)) &&
      WouldMissDeadline(state, request.rank, request.deadline)) {
    return NotRunRefusal(environment, model::answer_kind::kOverloaded,
                         "the queue is too long for the deadline");
  }
  return {};
}

// Sheds the last request in the queue if it is less important than `rank`.
step ShedFor(const environment& environment,
             step step,
             model::importance rank) {
  if (step.state.requests.queue.empty())
    return step;
  const request_position last = *step.state.requests.queue.rbegin();
  const open_request& victim = *step.state.requests.open.Find(last.call);
  if (victim.rank >= rank || !environment.behaviour.may_shed(ViewOf(victim)))
    return step;
  step = Count(std::move(step), "requests_shed_total");
  return CloseRequest(
      environment, std::move(step), last.call,
      NotRunRefusal(environment, model::answer_kind::kOverloaded,
                    "shed for more important requests"));
}

open_request MakeOpenRequest(const environment& environment,
                             const entry_state& state,
                             const model::request_received& event) {
  const model::service& service =
      *FindService(*state.ledger.in_force.Get(), event.target);
  const bool has_deadline = event.deadline != model::timestamp();
  const model::timestamp deadline =
      has_deadline ? event.deadline : event.at + service.default_deadline;
  const request_view view{
      .rank = service.rank, .received = event.at, .deadline = deadline};
  return {.target = event.target,
          .owner = event.owner,
          .rank = service.rank,
          .idempotent = event.idempotent,
          .key = event.key,
          .received = event.at,
          .deadline = deadline,
          .digest = environment.behaviour.hash(event.target.value() + "\n" +
                                               event.body),
          .order = environment.behaviour.order_request(view),
          .body = event.body};
}

step OpenRequest(step step, model::call_number call, open_request request) {
  step = SetTimer(std::move(step), {.at = request.deadline,
                                    .kind = timer_kind::kCallDeadline,
                                    .call = call});
  step = UpdateOpenCount(std::move(step), request.owner, true);
  step.state.requests.open.Put(call, std::move(request));
  step.state.requests.progress.Put(call, {});
  return step;
}

bool MayRetry(const environment& environment,
              const entry_state& state,
              const open_request& request,
              const request_progress& progress) {
  const bool safe = request.idempotent || progress.ambiguous_attempts == 0;
  return safe && progress.attempt < environment.limits.max_request_attempts &&
         state.requests.retry_budget >= kRetryTokenHundredths &&
         state.now < request.deadline;
}

step BackOff(const environment& environment,
             step step,
             model::call_number call,
             const request_progress& progress) {
  step.state.requests.retry_budget -= kRetryTokenHundredths;
  const std::uint64_t random = NextRandom(step);
  const model::duration wait = environment.behaviour.backoff(
      environment.limits, progress.attempt, random);
  step = Count(std::move(step), "request_retries_total");
  step = SetProgress(std::move(step), call,
                     {.phase = request_phase::kBackingOff,
                      .attempt = progress.attempt,
                      .ambiguous_attempts = progress.ambiguous_attempts,
                      .worker = progress.worker,
                      .claimed = progress.claimed});
  const model::timestamp retry_at = step.state.now + wait;
  return SetTimer(
      std::move(step),
      {.at = retry_at, .kind = timer_kind::kRetryRequest, .call = call});
}

// Retries a request after an attempt without a complete answer, or closes it if
// no retry is allowed.
step RetryOrClose(const environment& environment,
                  step step,
                  model::call_number call,
                  const request_progress& progress) {
  const open_request& request = *step.state.requests.open.Find(call);
  if (MayRetry(environment, step.state, request, progress))
    return BackOff(environment, std::move(step), call, progress);
  return CloseRequest(
      environment, std::move(step), call,
      RefusalOf(environment, progress, model::answer_kind::kUnavailable,
                "no endpoint gave a whole answer"));
}

// The progress of the request if it is waiting for this attempt; null if the
// attempt is outdated.
const request_progress* AwaitedProgress(const environment& environment,
                                        const entry_state& state,
                                        model::call_number call,
                                        std::uint32_t attempt) {
  const request_progress* progress = state.requests.progress.Find(call);
  if (progress == nullptr || progress->phase != request_phase::kCalling)
    return nullptr;
  const attempt_view view{.answered = attempt, .awaited = progress->attempt};
  return environment.behaviour.answers_request(view) ? progress : nullptr;
}

request_progress AfterAttempt(const request_progress& progress,
                              bool ambiguous) {
  return {
      .phase = progress.phase,
      .attempt = progress.attempt,
      .ambiguous_attempts = progress.ambiguous_attempts + (ambiguous ? 1 : 0),
      .worker = progress.worker,
      .claimed = progress.claimed};
}

}  // namespace

step SetProgress(step step,
                 model::call_number call,
                 request_progress progress) {
  step.state.requests.progress.Put(call, std::move(progress));
  return step;
}

model::answer RefusalOf(const environment& environment,
                        const request_progress& progress,
                        model::answer_kind kind,
                        std::string why) {
  const dispatch_view view{.ambiguous_attempts = progress.ambiguous_attempts};
  return {.kind = kind,
          .ran = environment.behaviour.refusal_state(view),
          .faults = model::OneFinding("", std::move(why)),
          .retry_after = environment.limits.retry_after};
}

step CloseRequest(const environment& environment,
                  step step,
                  model::call_number call,
                  model::answer answer) {
  step = Dequeue(std::move(step), call);
  const open_request request = *step.state.requests.open.Find(call);
  const request_progress progress = *step.state.requests.progress.Find(call);
  const bool whole = answer.kind == model::answer_kind::kAnswered;
  if (progress.claimed) {
    const model::request_outcome refused =
        answer.ran == model::run_state::kNotRun
            ? model::request_outcome::kNotRun
            : model::request_outcome::kUnknown;
    step = FinishClaim(
        environment, std::move(step), request,
        {.outcome = whole ? model::request_outcome::kAnswered : refused,
         .status = answer.endpoint_status,
         .body = answer.body});
  }
  step = CancelTimer(std::move(step), {.at = request.deadline,
                                       .kind = timer_kind::kCallDeadline,
                                       .call = call});
  step = UpdateOpenCount(std::move(step), request.owner, false);
  const model::scoped_key key{.owner = request.owner, .key = request.key};
  const std::set<model::call_number>* waiting =
      step.state.requests.by_key.Find(key);
  if (waiting != nullptr) {
    std::set<model::call_number> rest = *waiting;
    rest.erase(call);
    if (rest.empty())
      step.state.requests.by_key.Erase(key);
    else
      step.state.requests.by_key.Put(key, std::move(rest));
  }
  step.state.requests.open.Erase(call);
  step.state.requests.progress.Erase(call);
  const model::duration latency = step.state.now - request.received;
  step = Emit(std::move(step), model::observe_request{.target = request.target,
                                                      .latency = latency,
                                                      .whole_answer = whole});
  return Answer(std::move(step), call, std::move(answer));
}

step On(const environment& environment,
        step step,
        const model::request_received& event) {
  if (RefusesNewCalls(environment, step.state)) {
    return Answer(std::move(step), event.call,
                  NotRunRefusal(environment, model::answer_kind::kUnavailable,
                                "this entry is shutting down"));
  }
  if (!IsReady(step.state)) {
    return Answer(std::move(step), event.call,
                  NotRunRefusal(environment, model::answer_kind::kUnavailable,
                                "this entry has not caught up with the log"));
  }
  model::findings faults = CheckRequest(event, step.state.ledger);
  if (!faults.empty()) {
    return Answer(std::move(step), event.call,
                  {.kind = model::answer_kind::kInvalid,
                   .ran = model::run_state::kNotRun,
                   .faults = std::move(faults)});
  }
  open_request request = MakeOpenRequest(environment, step.state, event);
  if (step.state.requests.open.size() >= environment.limits.max_open_requests)
    step = ShedFor(environment, std::move(step), request.rank);
  std::optional<model::answer> refusal;
  if (step.state.requests.open.size() >= environment.limits.max_open_requests) {
    refusal.emplace(NotRunRefusal(environment, model::answer_kind::kOverloaded,
                                  "this entry has too many requests open"));
  } else if (auto why =
                 AdmissionRefusal(environment, step.state, event, request)) {
    refusal.emplace(std::move(*why));
  }
  if (refusal) {
    step = Count(std::move(step), "requests_refused_total");
    step =
        Emit(std::move(step), model::observe_request{.target = event.target});
    return Answer(std::move(step), event.call, std::move(*refusal));
  }
  step = OpenRequest(std::move(step), event.call, std::move(request));
  return event.idempotent ? Enqueue(std::move(step), event.call)
                          : ClaimKey(environment, std::move(step), event.call);
}

step On(const environment& environment,
        step step,
        const model::caller_gone& event) {
  const request_progress* progress =
      step.state.requests.progress.Find(event.call);
  if (progress == nullptr || progress->phase == request_phase::kCalling ||
      progress->phase == request_phase::kClaiming ||
      progress->ambiguous_attempts != 0) {
    return step;
  }
  return CloseRequest(environment, std::move(step), event.call,
                      NotRunRefusal(environment, model::answer_kind::kDeadline,
                                    "the caller has gone"));
}

step On(const environment& environment,
        step step,
        const model::endpoint_answered& event) {
  const request_progress* awaited =
      AwaitedProgress(environment, step.state, event.call, event.attempt);
  std::optional<request_progress> progress;
  if (awaited != nullptr)
    progress.emplace(*awaited);
  const endpoint_call* ended = step.state.requests.calls.Find(event.call);
  if (event.leaving && ended != nullptr) {
    const model::worker_id worker = ended->worker;
    step = RecordLeaving(environment, std::move(step), worker,
                         {.reported_by_endpoint = true});
  }
  step = EndEndpointCall(environment, std::move(step), event.call,
                         event.status < kFirstServerError);
  if (!progress) {
    return Count(std::move(step), "late_answers_total");
  }
  // A leaving endpoint refuses requests without running them, so a retry is
  // safe.
  if (event.leaving && event.status == kServiceUnavailable)
    return RetryOrClose(environment, std::move(step), event.call, *progress);
  return CloseRequest(environment, std::move(step), event.call,
                      {.kind = model::answer_kind::kAnswered,
                       .endpoint_status = event.status,
                       .body = event.body});
}

step On(const environment& environment,
        step step,
        const model::endpoint_unanswered& event) {
  const request_progress* awaited =
      AwaitedProgress(environment, step.state, event.call, event.attempt);
  std::optional<request_progress> progress;
  if (awaited != nullptr)
    progress.emplace(AfterAttempt(*awaited, event.sent));
  step = EndEndpointCall(environment, std::move(step), event.call, false);
  if (!progress)
    return step;
  return RetryOrClose(environment, std::move(step), event.call, *progress);
}

step OnRequestDeadline(const environment& environment,
                       step step,
                       model::call_number call) {
  const request_progress progress = *step.state.requests.progress.Find(call);
  // A request that an endpoint or another holder of its key is processing may
  // have been run.
  const bool may_have_run =
      progress.phase == request_phase::kCalling ||
      progress.phase == request_phase::kAwaitingClaimHolder;
  return CloseRequest(
      environment, std::move(step), call,
      RefusalOf(environment, AfterAttempt(progress, may_have_run),
                model::answer_kind::kDeadline, "the deadline passed"));
}

step RetryRequest(const environment&, step step, model::call_number call) {
  const request_progress* progress = step.state.requests.progress.Find(call);
  if (progress == nullptr || progress->phase != request_phase::kBackingOff)
    return step;
  return Enqueue(std::move(step), call);
}

}  // namespace parsleyhitch::scheduler::detail
