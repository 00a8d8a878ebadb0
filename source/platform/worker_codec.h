// Workers' entries in the registry and their lists, in the platform's encoding.

#ifndef PARSLEYHITCH_PLATFORM_WORKER_CODEC_H_
#define PARSLEYHITCH_PLATFORM_WORKER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "wire/base.h"
#include "work/worker.h"

namespace parsleyhitch::platform {

// An entry may come from another writer; one that names no worker to use is an
// error.
wire::result<work::registered_worker> DecodeWorker(const std::string& key,
                                                   std::string_view text);

struct held_worker {
  const work::duration clock{0};
  const work::worker_listing listing{};
};

wire::result<held_worker> DecodeLists(std::string_view body);

// The worker's clock, if the body holds it.
std::optional<work::duration> DecodeClock(std::string_view body);

// "ID.K.STEP.INDEX".
std::string TaskName(const work::task_id& task);
std::optional<work::task_id> ParseTaskName(std::string_view name);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_WORKER_CODEC_H_
