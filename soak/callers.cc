// A submission that is not accepted is sent again to a random entry, up to
// kMaxAttempts times in total. Acceptances and refusals are definite; after any
// other outcome the job may run.

#include "soak/callers.h"

#include <array>
#include <cstdio>
#include <iterator>
#include <nlohmann/json.hpp>

namespace parsleyhitch::soak {

namespace {

constexpr std::uint32_t kMaxAttempts = 6;
constexpr std::uint32_t kCancelOneIn = 12;
constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kTooManyRequests = 429;
constexpr std::uint32_t kUnavailable = 503;

// Returns 0 if no complete response was received.
std::uint32_t StatusOf(const wire::http_outcome& outcome) {
  const auto* response = std::get_if<wire::http_response>(&outcome);
  return response == nullptr ? 0 : response->status;
}

bool IsClosed(const std::string& state) {
  return state == "completed" || state == "failed" || state == "cancelled";
}

std::string JobName(std::size_t number) {
  std::array<char, 17> name{};
  std::snprintf(name.data(), name.size(), "%016zx", number + 0x1000);
  return name.data();
}

}  // namespace

std::uint32_t callers::RandomEntry() {
  return static_cast<std::uint32_t>(random_() % site_.entries());
}

void callers::SubmitJob() {
  const bool gang = random_() % 3 == 0;
  const std::uint64_t most_tasks = wide_jobs_ ? 10 : 4;
  const auto tasks = static_cast<std::uint32_t>(1 + random_() % most_tasks);
  const std::uint64_t most_accelerators = wide_jobs_ ? 3 : 8;
  const auto accelerators =
      static_cast<std::uint32_t>(1 + random_() % most_accelerators);
  const std::uint64_t longest_ms = wide_jobs_ ? 4000 : 1500;
  const auto task_ms = static_cast<std::uint32_t>(100 + random_() % longest_ms);
  const std::string job = JobName(jobs_.size());
  jobs_[job] = {};
  SendSubmission(job, {.tasks = tasks,
                       .accelerators = accelerators,
                       .task_ms = task_ms,
                       .gang = gang});
}

void callers::SendSubmission(const std::string& job,
                             const test::site_step& step) {
  jobs_[job].attempts += 1;
  open_ += 1;
  client_.Send(site_.SubmitRequest(RandomEntry(), job, step),
               [this, job, step](const wire::http_outcome& outcome) {
                 open_ -= 1;
                 OnSubmitted(job, step, outcome);
               });
}

void callers::OnSubmitted(const std::string& job,
                          const test::site_step& step,
                          const wire::http_outcome& outcome) {
  observed_job& observed = jobs_[job];
  const std::uint32_t status = StatusOf(outcome);
  const bool refused = status == kTooManyRequests || status == kUnavailable;
  if (status == kOk) {
    observed.accepted = true;
    return;
  }
  const auto* failure = std::get_if<wire::http_failure>(&outcome);
  const bool not_sent = failure != nullptr && !failure->sent;
  observed.uncertain = observed.uncertain || !(refused || not_sent);
  if (observed.attempts < kMaxAttempts)
    SendSubmission(job, step);
}

void callers::ReadOrCancelJob() {
  if (jobs_.empty())
    return;
  const auto at = std::next(
      jobs_.begin(), static_cast<std::ptrdiff_t>(random_() % jobs_.size()));
  const std::string job = at->first;
  if (random_() % kCancelOneIn == 0) {
    Cancel(job);
    return;
  }
  open_ += 1;
  client_.Send(site_.JobRequest("GET", RandomEntry(), job),
               [this, job](const wire::http_outcome& outcome) {
                 open_ -= 1;
                 OnRead(job, outcome);
               });
}

void callers::Cancel(const std::string& job) {
  jobs_[job].cancel_requested = true;
  open_ += 1;
  client_.Send(site_.JobRequest("DELETE", RandomEntry(), job),
               [this](const wire::http_outcome&) { open_ -= 1; });
}

void callers::OnRead(const std::string& job,
                     const wire::http_outcome& outcome) {
  const auto* response = std::get_if<wire::http_response>(&outcome);
  if (response == nullptr || response->status != kOk)
    return;
  const auto body = nlohmann::json::parse(response->body, nullptr, false);
  if (!body.is_object())
    return;
  const std::string state = body.value("state", std::string());
  observed_job& observed = jobs_[job];
  // An entry that lags may report an earlier state, but never a different final
  // state.
  const bool contradictory =
      IsClosed(observed.state) && IsClosed(state) && state != observed.state;
  if (contradictory)
    contradictions_.push_back(job + " was " + observed.state + " and is " +
                              state);
  if (!IsClosed(observed.state))
    observed.state = state;
}

}  // namespace parsleyhitch::soak
