// The process of one scheduler entry: an Asio event loop that feeds the reducer
// and performs its effects.

#ifndef PARSLEYHITCH_RUNTIME_ENTRY_PROCESS_H_
#define PARSLEYHITCH_RUNTIME_ENTRY_PROCESS_H_

#include <string>

#include "settings/settings.h"

namespace parsleyhitch::runtime {

// Runs until a graceful shutdown has completed. `recording_path` is the file to
// write the recording of events and effects to; empty for none. Throws
// std::exception if a listening address can't be bound.
void RunEntry(const settings::settings& settings,
              const std::string& recording_path);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_ENTRY_PROCESS_H_
