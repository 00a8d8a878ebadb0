// Decodes workers' registry entries and their responses in the platform's
// format.

#ifndef PARSLEYHITCH_PLATFORM_WORKER_CODEC_H_
#define PARSLEYHITCH_PLATFORM_WORKER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "wire/base.h"
#include "work/worker.h"

namespace parsleyhitch::platform {

// Decodes the registry entry of the worker `key`. Other programs write to the
// registry too: an entry that does not describe a usable worker is an error.
wire::result<work::registered_worker> DecodeWorker(const std::string& key,
                                                   std::string_view text);

// A worker's response to a `/hold` order.
struct hold_response {
  // The worker's own clock.
  const work::duration clock{0};
  const work::worker_listing listing{};
};

wire::result<hold_response> DecodeHoldResponse(std::string_view body);

// The worker's clock, if the response contains it.
std::optional<work::duration> DecodeWorkerClock(std::string_view body);

// The name of a task on workers: "JOB.OCCURRENCE.STEP.INDEX".
std::string TaskName(const work::task_id& task);
std::optional<work::task_id> ParseTaskName(std::string_view name);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_WORKER_CODEC_H_
