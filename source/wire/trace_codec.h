// Recordings of an entry's events and effects, as lines of JSON.

#ifndef PARSLEYHITCH_WIRE_TRACE_CODEC_H_
#define PARSLEYHITCH_WIRE_TRACE_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "model/effect.h"
#include "model/event.h"
#include "model/identifier.h"
#include "model/limits.h"
#include "wire/base.h"

namespace parsleyhitch::wire {

// The first line of a recording: the parameters that the entry was constructed
// with.
struct recording_head {
  const model::entry_id entry;
  const std::vector<model::entry_id> peers{};
  const bool baseline = false;
  const model::limits limits;
  bool operator==(const recording_head&) const = default;
};

// Every other line: an event and the effects that the reducer returned for it.
struct recorded_step {
  const model::event event{};
  const model::effects effects{};
  bool operator==(const recorded_step&) const = default;
};

std::string EncodeRecordingHead(const recording_head& head);
result<recording_head> DecodeRecordingHead(std::string_view line);

std::string EncodeRecordedStep(const recorded_step& step);
result<recorded_step> DecodeRecordedStep(std::string_view line);

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_TRACE_CODEC_H_
