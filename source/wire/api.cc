// Routes of the HTTP API and the format of its replies.

#include "wire/api.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "wire/json_codec.h"

namespace parsleyhitch::wire {

namespace {

constexpr char kJsonContentType[] = "application/json";
constexpr model::duration kDefaultCallDeadline{10000};
constexpr model::duration kMaxCallDeadline{3600000};

// A call with its time of receipt and its number.
struct call_context {
  const http_call& call;
  const model::timestamp at;
  const model::call_number number;
};

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t start = 1;
  while (start < path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    parts.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

std::string HeaderValue(const http_call& call, const std::string& name) {
  const auto found = call.headers.find(name);
  return found == call.headers.end() ? std::string() : found->second;
}

// The time from receipt to the caller's deadline, if the header is present.
std::optional<model::duration> ParseDeadlineHeader(const http_call& call,
                                                   model::findings& findings) {
  constexpr char kName[] = "parsleyhitch-deadline-ms";
  constexpr char kPlace[] = "header parsleyhitch-deadline-ms";
  const std::string text = HeaderValue(call, kName);
  if (text.empty())
    return {};
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_integer =
      error == std::errc() && end == text.data() + text.size();
  if (!is_integer || value <= 0 || value > kMaxCallDeadline.count()) {
    findings.push_back(
        {.place = kPlace, .message = "must be an integer from 1 to 3600000"});
    return {};
  }
  return model::duration(value);
}

model::timestamp CallDeadline(const call_context& context,
                              model::findings& findings) {
  return context.at + ParseDeadlineHeader(context.call, findings)
                          .value_or(kDefaultCallDeadline);
}

result<api_request> EventOrFindings(model::findings findings,
                                    model::event event) {
  if (!findings.empty())
    return boost::leaf::new_error(std::move(findings));
  return api_request(std::move(event));
}

result<api_request> ParseSubmission(const call_context& context) {
  model::findings findings;
  const model::timestamp deadline = CallDeadline(context, findings);
  BOOST_LEAF_AUTO(spec, FromJson<model::job_spec>(context.call.body));
  return EventOrFindings(std::move(findings),
                         model::job_requested{.at = context.at,
                                              .call = context.number,
                                              .spec = std::move(spec),
                                              .deadline = deadline});
}

result<api_request> ParseManifestCall(const call_context& context) {
  model::findings findings;
  const model::timestamp deadline = CallDeadline(context, findings);
  BOOST_LEAF_AUTO(proposed, FromJson<model::manifest>(context.call.body));
  return EventOrFindings(
      std::move(findings),
      model::manifest_offered{.at = context.at,
                              .call = context.number,
                              .proposed = std::move(proposed),
                              .deadline = deadline});
}

bool ParseIdempotent(const http_call& call, model::findings& findings) {
  constexpr char kName[] = "parsleyhitch-idempotent";
  constexpr char kPlace[] = "header parsleyhitch-idempotent";
  const std::string text = HeaderValue(call, kName);
  if (!text.empty() && text != "true" && text != "false") {
    findings.push_back({.place = kPlace, .message = "must be true or false"});
  }
  return text != "false";
}

result<api_request> ParseServiceRequest(const call_context& context,
                                        const std::string& service) {
  model::findings findings;
  const std::optional<model::duration> within =
      ParseDeadlineHeader(context.call, findings);
  const bool idempotent = ParseIdempotent(context.call, findings);
  return EventOrFindings(
      std::move(findings),
      model::request_received{
          .at = context.at,
          .call = context.number,
          .target = model::service_id(service),
          .owner = model::workspace_id(
              HeaderValue(context.call, "parsleyhitch-workspace")),
          .idempotent = idempotent,
          .key = model::idempotency_key(
              HeaderValue(context.call, "idempotency-key")),
          .deadline = within ? context.at + *within : model::timestamp(),
          .body = context.call.body});
}

result<api_request> ParseCancel(const call_context& context,
                                const std::string& job) {
  model::findings findings;
  const model::timestamp deadline = CallDeadline(context, findings);
  return EventOrFindings(std::move(findings),
                         model::job_cancel_requested{.at = context.at,
                                                     .call = context.number,
                                                     .job = model::job_id(job),
                                                     .deadline = deadline});
}

json FindingsJson(const model::findings& findings) {
  json list = json::array();
  for (const model::finding& each : findings)
    list.push_back({{"place", each.place}, {"message", each.message}});
  return list;
}

std::uint32_t StatusOf(const model::answer& answer) {
  switch (answer.kind) {
    case model::answer_kind::kAnswered:
      return answer.endpoint_status;
    case model::answer_kind::kAccepted:
      return 202;
    case model::answer_kind::kFound:
      return 200;
    case model::answer_kind::kInvalid:
      return 400;
    case model::answer_kind::kConflict:
      return 409;
    case model::answer_kind::kNotFound:
      return 404;
    case model::answer_kind::kOverloaded:
      return 429;
    case model::answer_kind::kUnavailable:
      return 503;
    case model::answer_kind::kDeadline:
      return 504;
  }
  return 500;
}

std::map<std::string, std::string> HeadersOf(const model::answer& answer) {
  std::map<std::string, std::string> headers;
  if (answer.retry_after > model::duration::zero()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
    headers["Retry-After"] = std::to_string(seconds.count());
  }
  if (answer.ran != model::run_state::kNotApplicable)
    headers["Parsleyhitch-Run"] =
        detail::EncodeJson(answer.ran).get<std::string>();
  return headers;
}

json BodyOf(const model::answer& answer) {
  json body = json::object();
  const bool is_error = answer.kind != model::answer_kind::kAccepted &&
                        answer.kind != model::answer_kind::kFound;
  if (is_error)
    body["error"] = detail::EncodeJson(answer.kind);
  if (answer.ran != model::run_state::kNotApplicable)
    body["run"] = detail::EncodeJson(answer.ran);
  if (!answer.faults.empty())
    body["findings"] = FindingsJson(answer.faults);
  if (answer.job)
    body["job"] = detail::EncodeJson(*answer.job);
  if (answer.status)
    body["status"] = detail::EncodeJson(*answer.status);
  if (answer.version)
    body["version"] = *answer.version;
  return body;
}

}  // namespace

result<api_request> ParseCall(const http_call& call,
                              model::timestamp at,
                              model::call_number number) {
  const call_context context{.call = call, .at = at, .number = number};
  const std::vector<std::string> path = SplitPath(call.path);
  const bool is_get = call.method == "GET";
  const bool is_post = call.method == "POST";
  if (is_get && call.path == "/metrics")
    return api_request(page::kMetrics);
  if (is_get && call.path == "/healthz")
    return api_request(page::kHealth);
  if (is_get && call.path == "/v1/burn")
    return api_request(page::kBurn);
  if (is_get && call.path == "/v1/status")
    return api_request(
        model::event(model::status_requested{.at = at, .call = number}));
  if (is_post && call.path == "/v1/drain")
    return api_request(
        model::event(model::drain_requested{.at = at, .call = number}));
  if (is_post && call.path == "/v1/jobs")
    return ParseSubmission(context);
  if (is_post && call.path == "/v1/manifest")
    return ParseManifestCall(context);
  const bool is_job = path.size() == 3 && path[0] == "v1" && path[1] == "jobs";
  if (is_get && is_job) {
    return api_request(model::event(model::job_read_requested{
        .at = at, .call = number, .job = model::job_id(path[2])}));
  }
  if (call.method == "DELETE" && is_job)
    return ParseCancel(context, path[2]);
  const bool is_service = path.size() == 4 && path[0] == "v1" &&
                          path[1] == "services" && path[3] == "requests";
  if (is_post && is_service)
    return ParseServiceRequest(context, path[2]);
  return boost::leaf::new_error(model::OneFinding(call.path, "no such call"));
}

http_reply ReplyToFindings(const model::findings& findings) {
  return ReplyTo({.kind = model::answer_kind::kInvalid,
                  .ran = model::run_state::kNotRun,
                  .faults = findings});
}

http_reply ReplyTo(const model::answer& answer) {
  if (answer.kind == model::answer_kind::kAnswered) {
    return {.status = StatusOf(answer),
            .content_type = "application/octet-stream",
            .headers = HeadersOf(answer),
            .body = answer.body};
  }
  return {.status = StatusOf(answer),
          .content_type = kJsonContentType,
          .headers = HeadersOf(answer),
          .body = BodyOf(answer).dump() + "\n"};
}

}  // namespace parsleyhitch::wire
