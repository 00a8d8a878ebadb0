// Tests of the encoding of orders to workers and the decoding of the responses.

#include "platform/worker_calls.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "platform/worker_codec.h"

namespace platform = parsleyhitch::platform;
namespace wire = parsleyhitch::wire;
namespace work = parsleyhitch::work;

namespace {

const work::timestamp kNow(work::duration(1000));
const work::order_target kTarget{.worker = work::worker_id("i-1"),
                                 .address = "10.0.0.2:80",
                                 .token = 7};
const work::task_id kTask{.job = work::job_id("5c0e7a21d94b36f8"),
                          .step = 1,
                          .index = 17};

work::order_outcome StartOutcome(std::uint32_t status, const char* body) {
  const auto decoded = platform::DecodeOutcome(
      work::start_run{.target = kTarget},
      wire::http_response{.status = status, .body = body}, kNow);
  return std::get<work::start_answered>(decoded.event).outcome;
}

}  // namespace

Test(start, request_carries_attempt_lease_and_fencing_token) {
  const wire::http_request request =
      platform::RequestFor(work::start_run{.target = kTarget,
                                           .task = kTask,
                                           .attempt = 2,
                                           .spec = "text",
                                           .checkpoint = "00ff",
                                           .lease_until = work::duration(486)});
  cr_assert_eq(request.url, "http://10.0.0.2:80/run-start");
  const auto body = nlohmann::json::parse(request.body);
  cr_assert_eq(body["task"], "5c0e7a21d94b36f8.0.1.17");
  cr_assert_eq(body["attempt"], 2);
  cr_assert_eq(body["fencingToken"], 7);
  cr_assert_eq(body["deadlineMs"], 486);
  cr_assert_eq(body["checkpoint"], "00ff");
  cr_assert_eq(request.headers.back(), "X-Expect-Instance: i-1");
}

Test(start, answered_with_each_status_has_the_matching_outcome) {
  using outcome = work::order_outcome;
  cr_assert(StartOutcome(200, R"({"clockMs":5})") == outcome::kDone);
  cr_assert(StartOutcome(409, R"({"reason":"fence"})") == outcome::kFenced);
  cr_assert(StartOutcome(409, R"({"reason":"old"})") == outcome::kOutdated);
  cr_assert(StartOutcome(409, R"({"reason":"late"})") == outcome::kTooLate);
  cr_assert(StartOutcome(409, R"({"reason":"room"})") == outcome::kNoRoom);
  cr_assert(StartOutcome(421, "") == outcome::kRestarted);
  cr_assert(StartOutcome(503, "") == outcome::kRefused);
  cr_assert(StartOutcome(500, "") == outcome::kUnknown);
}

Test(hold, of_a_worker_with_unknown_clock_renews_no_lease) {
  const wire::http_request request = platform::RequestFor(
      work::hold_worker{.target = kTarget, .acknowledged = 57});
  const auto body = nlohmann::json::parse(request.body);
  cr_assert_not(body.contains("deadlineMs"));
  cr_assert_eq(body["ackedUpto"], 57);
}

Test(hold, response_lists_running_and_ended_tasks) {
  const auto decoded = platform::DecodeOutcome(
      work::hold_worker{.target = kTarget},
      wire::http_response{.status = 200, .body = R"({"clockMs":482113,"born":99,
            "running":[["5c0e7a21d94b36f8.0.1.17",2,"00bb",41,900]],
            "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"},
      kNow);
  const auto& held = std::get<work::hold_answered>(decoded.event);
  cr_assert_eq(held.worker_clock->count(), 482113);
  cr_assert_eq(held.listing->life, 99U);
  cr_assert(held.listing->running[0].task == kTask);
  cr_assert_eq(held.listing->running[0].percent, 41U);
  cr_assert_eq(held.listing->ended[0].number, 58U);
  cr_assert(held.listing->ended[0].how == work::run_end_kind::kDone);
}

Test(hold, with_an_undecodable_response_has_an_unknown_outcome) {
  const auto decoded = platform::DecodeOutcome(
      work::hold_worker{.target = kTarget},
      wire::http_response{.status = 200, .body = R"({"finished":[[1]]})"},
      kNow);
  cr_assert(std::get<work::hold_answered>(decoded.event).outcome ==
            work::order_outcome::kUnknown);
  cr_assert_not(decoded.findings.empty());
}

Test(order, without_response_has_an_unknown_outcome) {
  const auto outcome_of = [](bool disconnected) {
    const auto decoded = platform::DecodeOutcome(
        work::stop_run{.target = kTarget},
        wire::http_failure{.disconnected = disconnected}, kNow);
    return std::get<work::stop_answered>(decoded.event).outcome;
  };
  cr_assert(outcome_of(false) == work::order_outcome::kUnknown);
  cr_assert(outcome_of(true) == work::order_outcome::kDisconnected);
}

Test(task_name, encoded_and_parsed_is_equal) {
  const auto parsed = platform::ParseTaskName(platform::TaskName(kTask));
  cr_assert(parsed.has_value() && *parsed == kTask);
  cr_assert_not(platform::ParseTaskName("a.1.2").has_value());
  cr_assert_not(platform::ParseTaskName("a.1.2.x").has_value());
}
