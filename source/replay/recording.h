// Replays a daemon's recording: the reducer must produce byte-identical effects
// for the recorded events.

#ifndef PARSLEYHITCH_REPLAY_RECORDING_H_
#define PARSLEYHITCH_REPLAY_RECORDING_H_

#include <cstdint>
#include <string>

#include "wire/base.h"

namespace parsleyhitch::replay {

struct recording_result {
  const std::uint64_t steps = 0;
  // Number of the first line whose effects differ; 0 if there is none.
  const std::uint64_t first_difference = 0;
};

// True if the text is a recording rather than a trace.
bool IsRecording(const std::string& text);

// Fails if a line cannot be decoded.
wire::result<recording_result> RunRecording(const std::string& text);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_RECORDING_H_
