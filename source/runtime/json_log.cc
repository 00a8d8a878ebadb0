// spdlog writes time and level; message and subject are escaped as JSON here.

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

std::string Quoted(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', true,
                                   nlohmann::json::error_handler_t::replace);
}

// Lines of one decision that are written in a second. A decision on each of
// 141 task starts a second, the grown sites' rate, is sampled; rarer ones are
// whole.
constexpr std::uint32_t kLinesPerSecond = 60;

struct line_budget {
  std::chrono::steady_clock::time_point second;
  std::uint32_t written = 0;
  std::uint64_t left_out = 0;
};

// The number of lines left out before this one, or nothing when it is left out
// itself.
std::optional<std::uint64_t> Admit(const std::string& decision) {
  static std::map<std::string, line_budget> budgets;
  line_budget& budget = budgets[decision];
  const auto now = std::chrono::steady_clock::now();
  if (now - budget.second >= std::chrono::seconds(1)) {
    budget.second = now;
    budget.written = 0;
  }
  if (budget.written >= kLinesPerSecond) {
    budget.left_out += 1;
    return {};
  }
  budget.written += 1;
  return std::exchange(budget.left_out, 0);
}

// A reader that does not keep up costs lines, never time.
void NeverBlock() {
  struct stat status {};
  if (fstat(STDOUT_FILENO, &status) == 0 && S_ISFIFO(status.st_mode))
    fcntl(STDOUT_FILENO, F_SETFL, O_NONBLOCK);
}

}  // namespace

void StartJsonLog(const std::string& process) {
  NeverBlock();
  auto logger = std::make_shared<spdlog::logger>(
      "json", std::make_shared<spdlog::sinks::stdout_sink_st>());
  logger->set_pattern(
      R"({"at":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","process":)" +
          Quoted(process) + ",%v}",
      spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void WriteJsonLog(const model::write_log_line& line) {
  const auto level = line.level == model::severity::kWarning
                         ? spdlog::level::warn
                         : spdlog::level::info;
  spdlog::log(level, "\"message\":{},\"subject\":{}", Quoted(line.message),
              Quoted(line.subject));
}

void WriteJsonLog(const work::write_log& line) {
  const std::optional<std::uint64_t> left_out = Admit(line.decision);
  if (!left_out)
    return;
  std::string fields;
  for (const work::log_field& each : line.fields)
    fields += "," + Quoted(each.name) + ":" + Quoted(each.value);
  if (*left_out > 0)
    fields += ",\"left_out\":" + std::to_string(*left_out);
  const auto level = line.level == work::log_level::kWarning
                         ? spdlog::level::warn
                         : spdlog::level::info;
  spdlog::log(level, "\"decision\":{},\"subject\":{}{}", Quoted(line.decision),
              Quoted(line.subject), fields);
}

}  // namespace parsleyhitch::runtime
