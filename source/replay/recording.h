// Runs a daemon's recording again: the same events must lead to the same
// effects, byte for byte.

#ifndef PARSLEYHITCH_REPLAY_RECORDING_H_
#define PARSLEYHITCH_REPLAY_RECORDING_H_

#include <cstdint>
#include <string>

#include "wire/base.h"

namespace parsleyhitch::replay {

struct recording_result {
  const std::uint64_t steps = 0;
  // The first line whose effects differ; 0 when none does.
  const std::uint64_t first_difference = 0;
};

// True when the text is a recording rather than a trace.
bool LooksLikeRecording(const std::string& text);

wire::result<recording_result> RunRecording(const std::string& text);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_RECORDING_H_
