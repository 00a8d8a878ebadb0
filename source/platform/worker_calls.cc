// A worker rejects an order with an HTTP status and, for 409, a reason. Without
// a response it is unknown whether the order was carried out.

#include "platform/worker_calls.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "platform/store_codec.h"
#include "platform/worker_codec.h"

namespace parsleyhitch::platform {

namespace {

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kConflict = 409;
constexpr std::uint32_t kMisdirected = 421;
constexpr std::uint32_t kTooManyRequests = 429;
constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kUnavailable = 503;

wire::http_request MakeOrder(const work::order_target& target,
                             const char* path,
                             const nlohmann::json& body,
                             work::duration timeout) {
  return {.method = "POST",
          .url = "http://" + target.address + path,
          .headers = {"Content-Type: application/json",
                      "X-Expect-Instance: " + target.worker.value()},
          .body = body.dump(),
          .timeout = timeout};
}

work::order_outcome DecodeConflict(const std::string& body) {
  const std::string reason = DecodeErrorReason(body);
  if (reason == "fence")
    return work::order_outcome::kFenced;
  if (reason == "old")
    return work::order_outcome::kOutdated;
  if (reason == "late")
    return work::order_outcome::kTooLate;
  if (reason == "room")
    return work::order_outcome::kNoRoom;
  return work::order_outcome::kRefused;
}

work::order_outcome DecodeOrderOutcome(const wire::http_outcome& outcome) {
  const auto* response = std::get_if<wire::http_response>(&outcome);
  if (response == nullptr)
    return std::get<wire::http_failure>(outcome).disconnected
               ? work::order_outcome::kDisconnected
               : work::order_outcome::kUnknown;
  switch (response->status) {
    case kOk:
      return work::order_outcome::kDone;
    case kConflict:
      return DecodeConflict(response->body);
    case kMisdirected:
      return work::order_outcome::kRestarted;
    case kBadRequest:
    case kTooManyRequests:
    case kUnavailable:
      return work::order_outcome::kRefused;
    default:
      return work::order_outcome::kUnknown;
  }
}

std::optional<work::duration> ClockFromOutcome(
    const wire::http_outcome& outcome) {
  const auto* response = std::get_if<wire::http_response>(&outcome);
  return response == nullptr ? std::nullopt : DecodeWorkerClock(response->body);
}

}  // namespace

wire::http_request RequestFor(const work::start_run& effect) {
  nlohmann::json body{{"task", TaskName(effect.task)},
                      {"attempt", effect.attempt},
                      {"spec", effect.spec},
                      {"deadlineMs", effect.lease_until.count()},
                      {"fencingToken", effect.target.token}};
  if (!effect.checkpoint.empty())
    body["checkpoint"] = effect.checkpoint;
  return MakeOrder(effect.target, "/run-start", body, effect.timeout);
}

wire::http_request RequestFor(const work::stop_run& effect) {
  return MakeOrder(effect.target, "/run-stop",
                   {{"task", TaskName(effect.task)},
                    {"attempt", effect.attempt},
                    {"fencingToken", effect.target.token}},
                   effect.timeout);
}

wire::http_request RequestFor(const work::hold_worker& effect) {
  nlohmann::json body{{"fencingToken", effect.target.token},
                      {"ackedUpto", effect.acknowledged}};
  if (effect.lease_until)
    body["deadlineMs"] = effect.lease_until->count();
  if (effect.wait > work::duration(0))
    body["waitMs"] = effect.wait.count();
  return MakeOrder(effect.target, "/hold", body, effect.timeout);
}

decoded_event DecodeOutcome(const work::start_run& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at) {
  return {.event =
              work::start_answered{.at = at,
                                   .call = effect.call,
                                   .worker = effect.target.worker,
                                   .outcome = DecodeOrderOutcome(outcome),
                                   .worker_clock = ClockFromOutcome(outcome)}};
}

decoded_event DecodeOutcome(const work::stop_run& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at) {
  return {.event = work::stop_answered{.at = at,
                                       .call = effect.call,
                                       .worker = effect.target.worker,
                                       .outcome = DecodeOrderOutcome(outcome)}};
}

decoded_event DecodeOutcome(const work::hold_worker& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at) {
  const work::order_outcome order_result = DecodeOrderOutcome(outcome);
  if (order_result != work::order_outcome::kDone) {
    return {.event = work::hold_answered{.at = at,
                                         .call = effect.call,
                                         .worker = effect.target.worker,
                                         .outcome = order_result}};
  }
  return wire::Handle(
      [&] {
        return DecodeHoldResponse(std::get<wire::http_response>(outcome).body);
      },
      [&](const hold_response& response) -> decoded_event {
        return {.event =
                    work::hold_answered{.at = at,
                                        .call = effect.call,
                                        .worker = effect.target.worker,
                                        .outcome = work::order_outcome::kDone,
                                        .worker_clock = response.clock,
                                        .listing = response.listing}};
      },
      [&](const model::findings& findings) -> decoded_event {
        return {.event = work::hold_answered{.at = at,
                                             .call = effect.call,
                                             .worker = effect.target.worker},
                .findings = findings};
      });
}

}  // namespace parsleyhitch::platform
