// Workers list their tasks as JSON arrays whose values have fixed positions.

#include "platform/worker_codec.h"

#include <array>
#include <charconv>
#include <utility>
#include <vector>

#include "platform/json_fields.h"
#include "wire/address.h"

namespace parsleyhitch::platform {

namespace {

// Index of the label that names the worker's rack.
constexpr std::size_t kRackLabel = 1;

std::vector<std::string> DecodeLabels(const json_fields& entry) {
  std::vector<std::string> labels;
  entry.ForEach("labels", [&](const nlohmann::json& label, const std::string&) {
    if (label.is_string())
      labels.push_back(label.get<std::string>());
    else
      entry.AddFinding("labels", "must be strings");
  });
  return labels;
}

work::resources DecodeCapacity(const json_fields& capacity) {
  return {.cpu_millis = static_cast<std::int64_t>(capacity.Number("cpu")),
          .memory_mb = static_cast<std::int64_t>(capacity.Number("memMb")),
          .accelerators = static_cast<std::int64_t>(capacity.Number("gpu"))};
}

std::optional<work::run_end_kind> ParseEndKind(std::string_view name) {
  if (name == "done")
    return work::run_end_kind::kDone;
  if (name == "failed")
    return work::run_end_kind::kFailed;
  if (name == "stopped")
    return work::run_end_kind::kStopped;
  if (name == "lapsed")
    return work::run_end_kind::kLeaseExpired;
  if (name == "broken")
    return work::run_end_kind::kGangMemberEnded;
  if (name == "alone")
    return work::run_end_kind::kGangIncomplete;
  return {};
}

std::uint64_t NumberAt(const nlohmann::json& row, std::size_t column) {
  return row.size() > column ? NumberOf(row[column]).value_or(0) : 0;
}

std::string StringAt(const nlohmann::json& row, std::size_t column) {
  const bool present = row.size() > column && row[column].is_string();
  return present ? row[column].get<std::string>() : std::string();
}

// A row is [task, attempt, checkpoint, percent, usage]; the usage is not
// needed.
void DecodeRunningRow(const nlohmann::json& row,
                      const std::string& place,
                      std::vector<work::running_task>& running,
                      model::findings& findings) {
  const auto task =
      row.is_array() ? ParseTaskName(StringAt(row, 0)) : std::nullopt;
  if (!task) {
    findings.push_back({.place = place, .message = "must name a task"});
    return;
  }
  running.push_back({.task = *task,
                     .attempt = NumberAt(row, 1),
                     .checkpoint = StringAt(row, 2),
                     .percent = static_cast<std::uint32_t>(NumberAt(row, 3))});
}

// A row is [number, task, attempt, how, checkpoint].
void DecodeEndedRow(const nlohmann::json& row,
                    const std::string& place,
                    std::vector<work::ended_task>& ended,
                    model::findings& findings) {
  const auto task =
      row.is_array() ? ParseTaskName(StringAt(row, 1)) : std::nullopt;
  const auto how =
      row.is_array() ? ParseEndKind(StringAt(row, 3)) : std::nullopt;
  if (!task || !how) {
    findings.push_back(
        {.place = place, .message = "must name a task and how it ended"});
    return;
  }
  ended.push_back({.number = NumberAt(row, 0),
                   .task = *task,
                   .attempt = NumberAt(row, 2),
                   .how = *how,
                   .checkpoint = StringAt(row, 4)});
}

std::optional<std::uint32_t> ParseNumber(std::string_view text) {
  std::uint32_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return {};
  return value;
}

}  // namespace

wire::result<work::registered_worker> DecodeWorker(const std::string& key,
                                                   std::string_view text) {
  const nlohmann::json source = ParseJson(text);
  if (source.is_discarded())
    return wire::Malformed("is not valid JSON");
  model::findings findings;
  const json_fields entry(source, "", findings);
  std::vector<std::string> labels = DecodeLabels(entry);
  const std::string state = entry.String("state");
  const bool draining = state == "draining";
  if (state != "ready" && !draining)
    entry.AddFinding("state", "must be ready or draining");
  std::string service = entry.RequiredString("service");
  std::string address = entry.RequiredString("address");
  if (!address.empty() && !wire::IsIpAndPort(address))
    entry.AddFinding("address", "must be an IP address and a port");
  std::string zone = entry.String("zone");
  const work::resources capacity = DecodeCapacity(entry.Object("capacity"));
  // The worker's start time distinguishes its incarnations.
  const std::uint64_t life = entry.Number("born");
  const std::uint64_t leaves_in_ms = draining ? entry.Number("remainingMs") : 0;
  if (!findings.empty())
    return boost::leaf::new_error(std::move(findings));
  work::rack_id rack(labels.size() > kRackLabel ? labels[kRackLabel] : "");
  return work::registered_worker{
      .worker = work::worker_id(key),
      .service = work::service_id(std::move(service)),
      .address = std::move(address),
      .rack = std::move(rack),
      .labels = std::move(labels),
      .capacity = capacity,
      .draining = draining,
      .leaves_in = work::duration(static_cast<std::int64_t>(leaves_in_ms)),
      .life = life,
      .failure_domain = work::failure_domain_id(std::move(zone))};
}

wire::result<hold_response> DecodeHoldResponse(std::string_view body) {
  const nlohmann::json source = ParseJson(body);
  if (source.is_discarded())
    return wire::Malformed("is not valid JSON");
  model::findings findings;
  const json_fields root(source, "", findings);
  std::vector<work::running_task> running;
  std::vector<work::ended_task> ended;
  root.ForEach("running",
               [&](const nlohmann::json& row, const std::string& place) {
                 DecodeRunningRow(row, place, running, findings);
               });
  root.ForEach("finished",
               [&](const nlohmann::json& row, const std::string& place) {
                 DecodeEndedRow(row, place, ended, findings);
               });
  const work::duration clock(root.Number("clockMs"));
  const std::uint64_t life = root.Number("born");
  if (!findings.empty())
    return boost::leaf::new_error(std::move(findings));
  return hold_response{.clock = clock,
                       .listing = {.life = life,
                                   .running = std::move(running),
                                   .ended = std::move(ended)}};
}

std::optional<work::duration> DecodeWorkerClock(std::string_view body) {
  const nlohmann::json source = ParseJson(body);
  if (!source.is_object())
    return {};
  model::findings findings;
  const json_fields root(source, "", findings);
  if (!root.Has("clockMs"))
    return {};
  return work::duration(root.Number("clockMs"));
}

std::string TaskName(const work::task_id& task) {
  return task.job.value() + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

std::optional<work::task_id> ParseTaskName(std::string_view name) {
  std::array<std::uint32_t, 3> numbers{};
  for (std::size_t i = numbers.size(); i > 0; --i) {
    const std::size_t dot = name.rfind('.');
    if (dot == std::string_view::npos)
      return {};
    const auto number = ParseNumber(name.substr(dot + 1));
    if (!number)
      return {};
    numbers[i - 1] = *number;
    name = name.substr(0, dot);
  }
  if (name.empty())
    return {};
  return work::task_id{.job = work::job_id(std::string(name)),
                       .occurrence = numbers[0],
                       .step = numbers[1],
                       .index = numbers[2]};
}

}  // namespace parsleyhitch::platform
