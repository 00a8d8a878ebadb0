// spdlog writes time and level; message and subject are escaped as JSON here.

#include "runtime/json_log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace parsleyhitch::runtime {

namespace {

std::string Quoted(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', true,
                                   nlohmann::json::error_handler_t::replace);
}

}  // namespace

void StartJsonLog(const std::string& process) {
  auto logger = std::make_shared<spdlog::logger>(
      "json", std::make_shared<spdlog::sinks::stderr_sink_st>());
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

}  // namespace parsleyhitch::runtime
