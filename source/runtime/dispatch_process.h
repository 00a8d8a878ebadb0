// The process of one dispatcher entry: connects the dispatcher's reducer to
// callers, the record store, the workers and the other entries.

#ifndef PARSLEYHITCH_RUNTIME_DISPATCH_PROCESS_H_
#define PARSLEYHITCH_RUNTIME_DISPATCH_PROCESS_H_

#include <functional>
#include <optional>

#include "settings/dispatch_settings.h"

namespace parsleyhitch::runtime {

// Reads the settings again. Reports invalid settings and returns nothing for
// them.
using settings_reader =
    std::function<std::optional<settings::dispatch_settings>()>;

// Runs until the entry has shut down. Throws std::exception if a listening
// address can't be bound.
void RunDispatcher(const settings::dispatch_settings& settings,
                   const settings_reader& read_settings);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_DISPATCH_PROCESS_H_
