// JSON encoding of the exchanges with workers and with the platform's VM list.

#ifndef PARSLEYHITCH_WIRE_WORKER_CODEC_H_
#define PARSLEYHITCH_WIRE_WORKER_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "model/fleet.h"
#include "model/message.h"
#include "wire/base.h"

namespace parsleyhitch::wire {

std::string EncodeSync(const model::worker_sync& sync);
result<model::worker_sync> DecodeSync(std::string_view text);

std::string EncodeReport(const model::worker_report& report);
result<model::worker_report> DecodeReport(std::string_view text);

std::string EncodeVmList(const std::vector<model::listed_vm>& vms);
result<std::vector<model::listed_vm>> DecodeVmList(std::string_view text);

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_WORKER_CODEC_H_
