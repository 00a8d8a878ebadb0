// One entry as a process: the Asio loop with all performers around the reducer.

#ifndef PARSLEYHITCH_RUNTIME_ENTRY_PROCESS_H_
#define PARSLEYHITCH_RUNTIME_ENTRY_PROCESS_H_

#include <string>

#include "settings/settings.h"

namespace parsleyhitch::runtime {

// Runs until a graceful shutdown has ended. `record_path` names the file that
// takes the recording; empty for none. Throws std::exception when an address
// can't be listened at.
void RunEntry(const settings::settings& settings,
              const std::string& record_path);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_ENTRY_PROCESS_H_
