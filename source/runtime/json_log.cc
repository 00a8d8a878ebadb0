// spdlog formats the time and level; all other fields are escaped as JSON here.

#include "runtime/json_log.h"

#include <fcntl.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace parsleyhitch::runtime {

namespace {

std::string QuoteJson(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', true,
                                   nlohmann::json::error_handler_t::replace);
}

// Limit per decision. Decisions logged on each task start reach 141 lines per
// second on the larger sites and are sampled; less frequent ones are logged in
// full.
constexpr std::uint32_t kMaxLinesPerSecond = 60;

struct rate_window {
  std::chrono::steady_clock::time_point start;
  std::uint32_t written = 0;
  std::uint64_t suppressed = 0;
};

// Returns the number of lines suppressed before this one, or nothing if this
// one is to be suppressed.
std::optional<std::uint64_t> AdmitLine(const std::string& decision) {
  static std::map<std::string, rate_window> windows;
  rate_window& window = windows[decision];
  const auto now = std::chrono::steady_clock::now();
  if (now - window.start >= std::chrono::seconds(1)) {
    window.start = now;
    window.written = 0;
  }
  if (window.written >= kMaxLinesPerSecond) {
    window.suppressed += 1;
    return {};
  }
  window.written += 1;
  return std::exchange(window.suppressed, 0);
}

// If standard output is a pipe, a slow reader causes lines to be lost rather
// than blocking the process.
void SetStdoutNonBlocking() {
  struct stat status {};
  if (fstat(STDOUT_FILENO, &status) == 0 && S_ISFIFO(status.st_mode))
    fcntl(STDOUT_FILENO, F_SETFL, O_NONBLOCK);
}

}  // namespace

void StartJsonLog(const std::string& process) {
  SetStdoutNonBlocking();
  auto logger = std::make_shared<spdlog::logger>(
      "json", std::make_shared<spdlog::sinks::stdout_sink_st>());
  logger->set_pattern(
      R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","process":)" +
          QuoteJson(process) + ",%v}",
      spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void WriteJsonLog(const model::write_log_line& line) {
  const auto level = line.level == model::severity::kWarning
                         ? spdlog::level::warn
                         : spdlog::level::info;
  spdlog::log(level, "\"message\":{},\"subject\":{}", QuoteJson(line.message),
              QuoteJson(line.subject));
}

void WriteJsonLog(const work::write_log& line) {
  const std::optional<std::uint64_t> suppressed = AdmitLine(line.decision);
  if (!suppressed)
    return;
  std::string fields;
  for (const work::log_field& each : line.fields)
    fields += "," + QuoteJson(each.name) + ":" + QuoteJson(each.value);
  if (*suppressed > 0)
    fields += ",\"left_out\":" + std::to_string(*suppressed);
  const auto level = line.level == work::log_level::kWarning
                         ? spdlog::level::warn
                         : spdlog::level::info;
  spdlog::log(level, "\"decision\":{},\"subject\":{}{}",
              QuoteJson(line.decision), QuoteJson(line.subject), fields);
}

}  // namespace parsleyhitch::runtime
