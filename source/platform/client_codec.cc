// Validates the format of submissions. Whether a queue accepts them is decided
// by the dispatcher.

#include "platform/client_codec.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "platform/json_fields.h"

namespace parsleyhitch::platform {

namespace {

// Limit that the platform sets for the spec of a submission.
constexpr std::size_t kMaxSpecBytes = 4000;
// Limits that keep a single submission from exhausting the memory of an entry.
// The largest gang that must be supported has 256 tasks.
constexpr std::uint64_t kMaxTasks = 10000;
constexpr std::uint64_t kMaxSteps = 200;
constexpr std::uint64_t kMaxOccurrences = 10000;
// Of all steps and occurrences together. A leader holds them all in memory.
constexpr std::uint64_t kMaxJobTasks = 100000;

// Of a submission's JSON, which needs at most 70 bytes a value once parsed. The
// largest valid submission, 200 steps that each name all earlier ones, has
// fewer than 30,000.
constexpr std::ptrdiff_t kMaxValues = 100000;
// Every step of every open job holds its image, and so does each entry.
constexpr std::size_t kMaxImageBytes = 256;

constexpr char kJson[] = "application/json";

std::string HeaderValue(const wire::http_call& call, const char* name) {
  const auto found = call.headers.find(name);
  return found == call.headers.end() ? std::string() : found->second;
}

work::duration DecodePatience(const wire::http_call& call) {
  // The header holds how long the caller waits, in milliseconds; it is not a
  // point in time.
  const std::string text = HeaderValue(call, "x-deadline");
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return work::duration(std::max<std::int64_t>(value, 0));
}

std::vector<std::uint32_t> DecodeDependencies(const json_fields& step,
                                              std::size_t index) {
  std::vector<std::uint32_t> after;
  step.ForEach(
      "dependsOn", [&](const nlohmann::json& each, const std::string&) {
        const bool is_earlier_step =
            each.is_number_unsigned() && each.get<std::uint64_t>() < index;
        if (!is_earlier_step) {
          step.AddFinding("dependsOn", "must name earlier steps");
          return;
        }
        after.push_back(each.get<std::uint32_t>());
      });
  return after;
}

work::step_spec DecodeStep(const json_fields& step,
                           std::size_t index,
                           bool long_running) {
  const std::uint64_t tasks = step.Number("count");
  if (tasks == 0 || tasks > kMaxTasks)
    step.AddFinding("count", "must be from 1 to 10000");
  std::string image = step.String("image");
  if (image.size() > kMaxImageBytes)
    step.AddFinding("image", "must have at most 256 bytes");
  return {
      .tasks = static_cast<std::uint32_t>(tasks),
      .need = {.cpu_millis = static_cast<std::int64_t>(step.Number("cpu")),
               .memory_mb = static_cast<std::int64_t>(step.Number("memMb")),
               .accelerators = static_cast<std::int64_t>(step.Number("gpu"))},
      .estimate = work::duration(step.Number("estimateMs")),
      .after = DecodeDependencies(step, index),
      .gang = step.Boolean("gang"),
      .same_rack = step.Boolean("colocated"),
      .checkpointed = step.Boolean("checkpointable"),
      .duplicates_allowed = step.Boolean("allowDuplicates"),
      .endless = long_running || step.Boolean("longRunning"),
      .fills_idle = step.Boolean("fills"),
      .required_label = step.String("requirements"),
      .data_rack = work::rack_id(step.String("affinity")),
      // The limit of tasks on one worker, not a label to avoid.
      .max_per_worker = static_cast<std::uint32_t>(step.Number("antiAffinity")),
      .may_be_away = static_cast<std::uint32_t>(step.Number("mayMiss")),
      .image = std::move(image)};
}

work::schedule DecodeSchedule(const json_fields& job) {
  const std::uint64_t occurrences = job.Number("repeatCount");
  if (occurrences > kMaxOccurrences)
    job.AddFinding("repeatCount", "must be at most 10000");
  return {.first_due = work::timestamp(work::duration(job.Number("startMs"))),
          .interval = work::duration(job.Number("intervalMs")),
          .occurrences = static_cast<std::uint32_t>(occurrences)};
}

std::uint64_t CountTasks(const std::vector<work::step_spec>& steps,
                         const work::schedule& when) {
  std::uint64_t tasks = 0;
  for (const work::step_spec& each : steps)
    tasks += each.tasks;
  return tasks * std::max<std::uint64_t>(when.occurrences, 1);
}

work::job_request DecodeRequest(const nlohmann::json& source,
                                model::findings& findings) {
  const json_fields job(source, "", findings);
  std::string spec = job.String("spec");
  if (spec.size() > kMaxSpecBytes)
    job.AddFinding("spec", "must have at most 4000 bytes");
  const bool long_running = job.Boolean("longRunning");
  std::vector<work::step_spec> steps;
  job.ForEach("phases",
              [&](const nlohmann::json& each, const std::string& place) {
                steps.push_back(DecodeStep(json_fields(each, place, findings),
                                           steps.size(), long_running));
              });
  if (steps.empty() || steps.size() > kMaxSteps)
    job.AddFinding("phases", "must have 1 to 200 steps");
  const work::schedule when = DecodeSchedule(job);
  if (CountTasks(steps, when) > kMaxJobTasks)
    job.AddFinding("phases", "must have at most 100000 tasks in all");
  return {.spec = std::move(spec), .steps = std::move(steps), .when = when};
}

std::string StripPort(const std::string& host) {
  return host.substr(0, host.find(':'));
}

work::client_call MakeCall(const wire::http_call& call,
                           work::call_verb verb,
                           std::optional<work::job_request> request,
                           model::findings findings) {
  return {.verb = verb,
          .host = StripPort(HeaderValue(call, "host")),
          .path = call.path,
          .key = HeaderValue(call, "x-api-key"),
          .patience = DecodePatience(call),
          .request = std::move(request),
          .faults = std::move(findings)};
}

// An upper bound that needs no parsing: outside of strings, a list or object
// starts with a bracket, and each of its members but the first follows a comma.
std::ptrdiff_t CountValues(const std::string& text) {
  std::ptrdiff_t values = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char letter = text[i];
    if (in_string && letter == '\\') {
      ++i;
    } else if (letter == '"') {
      in_string = !in_string;
    } else if (!in_string &&
               (letter == ',' || letter == '[' || letter == '{')) {
      ++values;
    }
  }
  return values;
}

work::client_call DecodeSubmission(const wire::http_call& call) {
  if (CountValues(call.body) > kMaxValues) {
    return MakeCall(call, work::call_verb::kSubmit, {},
                    model::OneFinding("", "must have at most 100000 values"));
  }
  const nlohmann::json source = ParseJson(call.body);
  if (source.is_discarded()) {
    return MakeCall(call, work::call_verb::kSubmit, {},
                    model::OneFinding("", "is not valid JSON"));
  }
  model::findings findings;
  work::job_request request = DecodeRequest(source, findings);
  if (!findings.empty())
    return MakeCall(call, work::call_verb::kSubmit, {}, std::move(findings));
  return MakeCall(call, work::call_verb::kSubmit, std::move(request), {});
}

std::string PhaseName(work::job_phase phase) {
  switch (phase) {
    case work::job_phase::kQueued:
      return "queued";
    case work::job_phase::kRunning:
      return "running";
    case work::job_phase::kCompleted:
      return "completed";
    case work::job_phase::kFailed:
      return "failed";
    case work::job_phase::kCancelled:
      break;
  }
  return "cancelled";
}

wire::http_reply JsonReply(std::uint32_t status, const nlohmann::json& body) {
  return {.status = status, .content_type = kJson, .body = body.dump()};
}

wire::http_reply ErrorReply(std::uint32_t status, const std::string& error) {
  return JsonReply(status, {{"error", error}});
}

wire::http_reply RetryLaterReply(std::uint32_t status,
                                 const std::string& error,
                                 work::duration retry_after) {
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(retry_after).count();
  return {.status = status,
          .content_type = kJson,
          .headers = {{"Retry-After", std::to_string(seconds)}},
          .body = nlohmann::json{{"error", error}}.dump()};
}

wire::http_reply InvalidCallReply(const model::findings& findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const model::finding& each : findings)
    list.push_back({{"place", each.place}, {"message", each.message}});
  return JsonReply(400, {{"error", "the call is invalid"}, {"findings", list}});
}

}  // namespace

std::optional<work::client_call> DecodeCall(const wire::http_call& call) {
  if (call.method == "POST")
    return DecodeSubmission(call);
  if (call.method == "GET")
    return MakeCall(call, work::call_verb::kRead, {}, {});
  if (call.method == "DELETE")
    return MakeCall(call, work::call_verb::kCancel, {}, {});
  return {};
}

wire::http_reply ReplyTo(const work::client_answer& answer) {
  switch (answer.kind) {
    case work::answer_kind::kAccepted:
      return JsonReply(200, nlohmann::json::object());
    case work::answer_kind::kState:
      return JsonReply(200, {{"state", PhaseName(answer.phase)}});
    case work::answer_kind::kWaiting:
      return JsonReply(200, {{"waiting", answer.waiting}});
    case work::answer_kind::kInvalid:
      return InvalidCallReply(answer.faults);
    case work::answer_kind::kNoKey:
      return ErrorReply(401, "the key is unknown");
    case work::answer_kind::kNoQueue:
      return ErrorReply(404, "no queue has this path");
    case work::answer_kind::kNoJob:
      return ErrorReply(410, "no such job");
    case work::answer_kind::kNotRun:
      return RetryLaterReply(503, "not run; try again later",
                             answer.retry_after);
    case work::answer_kind::kNotSettled:
      break;
  }
  return RetryLaterReply(504, "the outcome is not known yet",
                         answer.retry_after);
}

}  // namespace parsleyhitch::platform
