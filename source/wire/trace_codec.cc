// Encodes recordings as lines of JSON.

#include "wire/trace_codec.h"

#include "wire/json_codec.h"

namespace parsleyhitch::wire {

PARSLEYHITCH_DESCRIBE(recording_head, entry, peers, baseline, limits)
PARSLEYHITCH_DESCRIBE(recorded_step, event, effects)

std::string EncodeRecordingHead(const recording_head& head) {
  return ToJson(head);
}

result<recording_head> DecodeRecordingHead(std::string_view line) {
  return FromJson<recording_head>(line);
}

std::string EncodeRecordedStep(const recorded_step& step) {
  return ToJson(step);
}

result<recorded_step> DecodeRecordedStep(std::string_view line) {
  return FromJson<recorded_step>(line);
}

}  // namespace parsleyhitch::wire
