// The request queue and the choice of endpoints. The hook `order_request` gives
// the queue's order. A share of the slots is reserved for urgent requests, so
// that short requests do not wait behind long ones.

#include <algorithm>
#include <utility>

#include "scheduler/ejection.h"
#include "scheduler/requests.h"

namespace parsleyhitch::scheduler::detail {

namespace {

constexpr std::int64_t kMeanCallWindow = 8;

request_position PositionOf(model::call_number call,
                            const open_request& request) {
  return {.order = request.order, .call = call};
}

// This entry's share of the worker's slots, computed without communication
// between entries. The remainder of an uneven division goes to successive
// entries, starting at one chosen by a hash of the worker's name. The share of
// a worker with slots is at least one.
std::uint32_t SlotShareOf(const environment& environment,
                          const entry_state& state,
                          const model::worker_id& worker) {
  const model::worker_status* status = state.ledger.workers.Find(worker);
  if (status == nullptr || status->spec.slots == 0)
    return 0;
  const std::vector<model::entry_id>& alive = state.peers.alive;
  const auto self = std::ranges::find(alive, environment.me);
  if (self == alive.end())
    return 1;
  const std::uint64_t entries = alive.size();
  const std::uint64_t first =
      environment.behaviour.hash(worker.value()) % entries;
  const auto index = static_cast<std::uint64_t>(self - alive.begin());
  const std::uint64_t turn = (index + entries - first) % entries;
  const std::uint64_t extra = turn < status->spec.slots % entries ? 1 : 0;
  const std::uint64_t share = status->spec.slots / entries + extra;
  return std::max(1U, static_cast<std::uint32_t>(share));
}

endpoint_rank RankOf(const model::worker_id& worker,
                     const endpoint_load& load) {
  return {.in_flight = load.in_flight, .turn = load.turn, .worker = worker};
}

// True if requests may be sent to the endpoint, apart from its load.
bool MayBeCalled(const environment& environment,
                 const entry_state& state,
                 const model::worker_id& worker,
                 const endpoint_load& load) {
  const model::worker_status* status = state.ledger.workers.Find(worker);
  if (status == nullptr || status->phase != model::worker_phase::kLive)
    return false;
  const leaving_view* leaving = state.peers.leaving.Find(worker);
  if (leaving != nullptr && environment.behaviour.is_leaving(*leaving))
    return false;
  return load.ejected_until <= state.now;
}

// Replaces an endpoint's load and updates the set of available endpoints and
// the sum of slots.
step UpdateLoad(const environment& environment,
                step step,
                const model::worker_id& worker,
                const endpoint_load& load) {
  const bool may_be_called = MayBeCalled(environment, step.state, worker, load);
  const std::uint32_t slots =
      may_be_called ? SlotShareOf(environment, step.state, worker) : 0;
  requests_state& requests = step.state.requests;
  const endpoint_load* present = requests.endpoints.Find(worker);
  if (present != nullptr) {
    requests.available_endpoints.erase(RankOf(worker, *present));
    requests.total_slots -= present->slots;
  }
  requests.total_slots += slots;
  requests.endpoints.Put(worker, {.in_flight = load.in_flight,
                                  .failures = load.failures,
                                  .ejected_until = load.ejected_until,
                                  .turn = load.turn,
                                  .slots = slots});
  if (load.in_flight < slots)
    requests.available_endpoints.insert(RankOf(worker, load));
  return step;
}

std::uint32_t NonUrgentSlots(const environment& environment,
                             const entry_state& state) {
  const std::uint32_t total = state.requests.total_slots;
  const std::uint32_t reserved =
      environment.behaviour.urgent_slots(environment.limits, total);
  return std::max(1U, total - std::min(total, reserved));
}

// The least loaded endpoint, but not the one of the last attempt if there is
// another.
model::worker_id ChooseEndpoint(const entry_state& state,
                                const model::worker_id& last) {
  const auto& available_endpoints = state.requests.available_endpoints;
  const auto first = available_endpoints.begin();
  if (first->worker != last || available_endpoints.size() == 1)
    return first->worker;
  return std::next(first)->worker;
}

// The first attempt of each request adds a fraction of a token to the retry
// budget.
std::uint32_t AddRetryCredit(const environment& environment,
                             std::uint32_t budget) {
  const std::uint32_t cap =
      environment.limits.retry_budget_cap * kRetryTokenHundredths;
  return std::min(cap, budget + environment.limits.retry_budget_percent);
}

step CallEndpoint(const environment& environment,
                  step step,
                  model::call_number call,
                  const model::worker_id& worker) {
  const open_request request = *step.state.requests.open.Find(call);
  const request_progress progress = *step.state.requests.progress.Find(call);
  const endpoint_load load = *step.state.requests.endpoints.Find(worker);
  const bool urgent = request.rank == model::importance::kUrgent;
  const std::uint32_t attempt = progress.attempt + 1;
  const std::uint64_t turn = step.state.requests.next_turn++;
  const model::duration timeout = request.deadline - step.state.now;
  if (attempt == 1) {
    step.state.requests.retry_budget =
        AddRetryCredit(environment, step.state.requests.retry_budget);
  }
  step.state.requests.in_flight += 1;
  step.state.requests.in_flight_non_urgent += urgent ? 0 : 1;
  step.state.requests.calls.Put(call, {.worker = worker,
                                       .attempt = attempt,
                                       .sent_at = step.state.now,
                                       .rank = request.rank});
  step = UpdateLoad(environment, std::move(step), worker,
                    {.in_flight = load.in_flight + 1,
                     .failures = load.failures,
                     .ejected_until = load.ejected_until,
                     .turn = turn});
  step = SetProgress(std::move(step), call,
                     {.phase = request_phase::kCalling,
                      .attempt = attempt,
                      .ambiguous_attempts = progress.ambiguous_attempts,
                      .worker = worker,
                      .claimed = progress.claimed});
  const std::string address =
      step.state.ledger.workers.Find(worker)->spec.address;
  return Emit(std::move(step), model::call_endpoint{.address = address,
                                                    .call = call,
                                                    .attempt = attempt,
                                                    .target = request.target,
                                                    .key = request.key,
                                                    .body = request.body,
                                                    .timeout = timeout});
}

// Consecutive failures eject an endpoint, for longer each time.
endpoint_load LoadAfterCall(const environment& environment,
                            const entry_state& state,
                            const endpoint_load& load,
                            bool succeeded) {
  const std::uint32_t failures = succeeded ? 0 : load.failures + 1;
  const model::duration ejection =
      EjectionDuration(environment.limits, failures,
                       environment.limits.endpoint_failures_to_eject);
  const bool ejected = ejection > model::duration::zero();
  const model::timestamp until =
      ejected ? state.now + ejection : load.ejected_until;
  return {.in_flight = load.in_flight - 1,
          .failures = failures,
          .ejected_until = until,
          .turn = load.turn};
}

}  // namespace

step Enqueue(step step, model::call_number call) {
  const open_request& request = *step.state.requests.open.Find(call);
  const request_progress old = *step.state.requests.progress.Find(call);
  step.state.requests.queue.insert(PositionOf(call, request));
  ++step.state.requests.queued.at(static_cast<std::size_t>(request.rank));
  return SetProgress(std::move(step), call,
                     {.phase = request_phase::kQueued,
                      .attempt = old.attempt,
                      .ambiguous_attempts = old.ambiguous_attempts,
                      .worker = old.worker,
                      .claimed = old.claimed});
}

step Dequeue(step step, model::call_number call) {
  const open_request& request = *step.state.requests.open.Find(call);
  const std::size_t removed =
      step.state.requests.queue.erase(PositionOf(call, request));
  if (removed > 0)
    --step.state.requests.queued.at(static_cast<std::size_t>(request.rank));
  return step;
}

step DispatchRequests(const environment& environment, step step) {
  while (!step.state.requests.queue.empty() &&
         !step.state.requests.available_endpoints.empty()) {
    const request_position next = *step.state.requests.queue.begin();
    const bool urgent = step.state.requests.open.Find(next.call)->rank ==
                        model::importance::kUrgent;
    if (!urgent && step.state.requests.in_flight_non_urgent >=
                       NonUrgentSlots(environment, step.state)) {
      break;
    }
    const model::worker_id last =
        step.state.requests.progress.Find(next.call)->worker;
    const model::worker_id worker = ChooseEndpoint(step.state, last);
    step = Dequeue(std::move(step), next.call);
    step = CallEndpoint(environment, std::move(step), next.call, worker);
  }
  return step;
}

step EndEndpointCall(const environment& environment,
                     step step,
                     model::call_number call,
                     bool succeeded) {
  const endpoint_call* present = step.state.requests.calls.Find(call);
  if (present == nullptr)
    return step;
  const endpoint_call ended = *present;
  step.state.requests.calls.Erase(call);
  step.state.requests.in_flight -= 1;
  step.state.requests.in_flight_non_urgent -=
      ended.rank == model::importance::kUrgent ? 0 : 1;
  if (succeeded) {
    const model::duration took = step.state.now - ended.sent_at;
    model::duration& mean = step.state.requests.mean_call_time.at(
        static_cast<std::size_t>(ended.rank));
    mean += (took - mean) / kMeanCallWindow;
  }
  const endpoint_load* load = step.state.requests.endpoints.Find(ended.worker);
  if (load == nullptr)
    return step;
  const endpoint_load after =
      LoadAfterCall(environment, step.state, *load, succeeded);
  step = UpdateLoad(environment, std::move(step), ended.worker, after);
  if (after.ejected_until <= step.state.now)
    return step;
  step = Count(std::move(step), "endpoints_ejected_total");
  return SetTimer(std::move(step), {.at = after.ejected_until,
                                    .kind = timer_kind::kReadmitEndpoint,
                                    .worker = ended.worker});
}

step RefreshEndpoint(const environment& environment,
                     step step,
                     const model::worker_id& worker) {
  const endpoint_load* present = step.state.requests.endpoints.Find(worker);
  const endpoint_load load = present == nullptr ? endpoint_load{} : *present;
  step = UpdateLoad(environment, std::move(step), worker, load);
  if (!step.state.ledger.workers.Contains(worker))
    step.state.requests.endpoints.Erase(worker);
  return step;
}

}  // namespace parsleyhitch::scheduler::detail
