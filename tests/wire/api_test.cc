// Tests of request parsing and reply encoding of the HTTP API.

#include "wire/api.h"

#include <criterion/criterion.h>

namespace model = parsleyhitch::model;
namespace wire = parsleyhitch::wire;

namespace {

struct api_fixture {
  static model::findings Findings(const wire::http_call& call) {
    return wire::Handle(
        [&] { return wire::ParseCall(call, model::timestamp(), 1); },
        [](const wire::api_request&) { return model::findings(); },
        [](const model::findings& findings) { return findings; });
  }
};

}  // namespace

Test(api, unknown_path_is_rejected) {
  cr_assert_eq(
      api_fixture::Findings({.method = "GET", .path = "/nothing"}).size(), 1);
}

Test(api, malformed_json_body_is_rejected) {
  cr_assert_eq(
      api_fixture::Findings({.method = "POST", .path = "/v1/jobs", .body = "{"})
          .size(),
      1);
}

Test(api, invalid_headers_of_a_request_are_reported_together) {
  const auto findings =
      api_fixture::Findings({.method = "POST",
                             .path = "/v1/services/s/requests",
                             .headers = {{"parsleyhitch-deadline-ms", "soon"},
                                         {"parsleyhitch-idempotent", "no"}}});
  cr_assert_eq(findings.size(), 2);
}

Test(api, overload_reply_carries_run_state_and_retry_after) {
  const wire::http_reply reply =
      wire::ReplyTo({.kind = model::answer_kind::kOverloaded,
                     .ran = model::run_state::kNotRun,
                     .retry_after = model::duration(1500)});
  cr_assert_eq(reply.status, 429);
  cr_assert_eq(reply.headers.at("Retry-After"), "2");
  cr_assert_eq(reply.headers.at("Parsleyhitch-Run"), "not_run");
  cr_assert(reply.body.find("\"run\":\"not_run\"") != std::string::npos);
}

Test(api, endpoint_response_is_forwarded_unchanged) {
  const wire::http_reply reply =
      wire::ReplyTo({.kind = model::answer_kind::kAnswered,
                     .endpoint_status = 418,
                     .body = std::string("a\0b", 3)});
  cr_assert_eq(reply.status, 418);
  cr_assert_eq(reply.body.size(), 3);
}
