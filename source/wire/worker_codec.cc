// Encodes the exchanges with workers and with the platform's VM list.

#include "wire/worker_codec.h"

#include "wire/json_codec.h"

namespace parsleyhitch::wire {

std::string EncodeSync(const model::worker_sync& sync) {
  return ToJson(sync);
}

result<model::worker_sync> DecodeSync(std::string_view text) {
  return FromJson<model::worker_sync>(text);
}

std::string EncodeReport(const model::worker_report& report) {
  return ToJson(report);
}

result<model::worker_report> DecodeReport(std::string_view text) {
  return FromJson<model::worker_report>(text);
}

std::string EncodeVmList(const std::vector<model::listed_vm>& vms) {
  return ToJson(vms);
}

result<std::vector<model::listed_vm>> DecodeVmList(std::string_view text) {
  return FromJson<std::vector<model::listed_vm>>(text);
}

}  // namespace parsleyhitch::wire
