// Tests of the decoding of callers' requests and the encoding of replies.

#include "platform/client_codec.h"

#include <criterion/criterion.h>

namespace platform = parsleyhitch::platform;
namespace wire = parsleyhitch::wire;
namespace work = parsleyhitch::work;

namespace {

struct call_fixture {
  static work::client_call Submit(const std::string& body) {
    return *platform::DecodeCall({.method = "POST",
                                  .path = "/queue/00000000000000a1",
                                  .headers = {{"host", "jobs.example:80"},
                                              {"x-api-key", "key"},
                                              {"x-deadline", "2500"}},
                                  .body = body});
  }

  static std::vector<std::string> FindingPlaces(const std::string& body) {
    std::vector<std::string> places;
    for (const auto& each : Submit(body).faults)
      places.push_back(each.place);
    return places;
  }
};

using places = std::vector<std::string>;

}  // namespace

Test(submission, of_more_tasks_than_a_leader_can_hold_is_refused) {
  const auto found = call_fixture::FindingPlaces(
      R"({"spec":"x","phases":[{"count":10000}],"repeatCount":10000})");
  cr_assert(found == places{"/phases"});
}

Test(submission, well_formed_is_decoded_into_steps) {
  const work::client_call call = call_fixture::Submit(
      R"({"spec":"x","phases":[{"count":4,"cpu":500,"memMb":256,"gpu":2,
          "estimateMs":900,"affinity":"r1-3","gang":true,"colocated":true},
          {"count":20,"dependsOn":[0],"checkpointable":true,
           "antiAffinity":3,"requirements":"a"}]})");
  cr_assert(call.faults.empty());
  const work::job_request& request = *call.request;
  cr_assert_eq(request.steps.size(), 2U);
  const work::step_spec& first = request.steps[0];
  cr_assert_eq(first.tasks, 4U);
  cr_assert_eq(first.need.accelerators, 2);
  cr_assert(first.gang && first.same_rack);
  cr_assert_eq(first.data_rack.value(), "r1-3");
  const work::step_spec& second = request.steps[1];
  cr_assert(second.after == std::vector<std::uint32_t>{0});
  cr_assert(second.checkpointed);
  cr_assert_eq(second.max_per_worker, 3U);
  cr_assert_eq(second.required_label, "a");
  cr_assert_eq(call.host, "jobs.example");
  cr_assert_eq(call.patience.count(), 2500);
}

Test(submission, that_names_an_image_is_decoded_with_it) {
  const work::client_call call = call_fixture::Submit(
      R"({"phases":[{"count":1,"image":"encode:4"},{"count":1}]})");
  cr_assert(call.faults.empty());
  cr_assert_eq(call.request->steps[0].image, "encode:4");
  cr_assert_eq(call.request->steps[1].image, "");
}

// Guards against callers that fill the memory of entries with names.
Test(submission, that_names_an_image_of_more_than_256_bytes_is_refused) {
  const std::string start = R"({"phases":[{"count":1,"image":")";
  const std::string end = R"("}]})";
  cr_assert(
      call_fixture::FindingPlaces(start + std::string(256, 'x') + end).empty());
  cr_assert(call_fixture::FindingPlaces(start + std::string(257, 'x') + end) ==
            places{"/phases/0/image"});
}

Test(submission, with_several_errors_reports_the_path_of_each) {
  const places found = call_fixture::FindingPlaces(
      R"({"spec":5,"phases":[{"count":0},{"count":1,"dependsOn":[1]},
          {"count":1,"cpu":"much"}]})");
  cr_assert(found == (places{"/spec", "/phases/0/count", "/phases/1/dependsOn",
                             "/phases/2/cpu"}));
}

Test(submission, without_steps_or_valid_json_is_invalid) {
  cr_assert(call_fixture::FindingPlaces("{}") == places{"/phases"});
  cr_assert(call_fixture::FindingPlaces("{") == places{""});
}

// Guards against JSON that takes many times its size once parsed.
Test(submission, with_very_many_values_is_refused_before_it_is_parsed) {
  std::string list = "[0";
  for (int i = 0; i < 200000; ++i)
    list += ",0";
  const std::string step = R"({"spec":"x","phases":[{"count":1}],"more":)";
  const auto call = call_fixture::Submit(step + list + "]}");
  cr_assert_eq(call.faults.size(), 1U);
  cr_assert_eq(call.faults[0].message, "must have at most 100000 values");
  const std::string text(200000, ',');
  cr_assert(
      call_fixture::Submit(step + "\"\\\"" + text + "\"}").faults.empty());
}

Test(submission, with_unknown_fields_is_accepted) {
  cr_assert(call_fixture::FindingPlaces(
                R"({"phases":[{"count":1,"new":1}],"also":2})")
                .empty());
}

Test(call, with_an_unsupported_method_is_not_decoded) {
  cr_assert_not(platform::DecodeCall({.method = "PUT"}).has_value());
}

Test(answer, that_the_job_was_not_run_has_a_retry_after_header) {
  const wire::http_reply reply =
      platform::ReplyTo({.kind = work::answer_kind::kNotRun,
                         .retry_after = work::duration(1000)});
  cr_assert_eq(reply.status, 503U);
  cr_assert_eq(reply.headers.at("Retry-After"), "1");
}

Test(answer, of_an_unknown_outcome_is_a_gateway_timeout) {
  cr_assert_eq(
      platform::ReplyTo({.kind = work::answer_kind::kNotSettled}).status, 504U);
}
