// One entry on the users' platform: the dispatcher's reducer between callers,
// the store, the workers and the other entries.

#ifndef PARSLEYHITCH_RUNTIME_DISPATCH_PROCESS_H_
#define PARSLEYHITCH_RUNTIME_DISPATCH_PROCESS_H_

#include <functional>
#include <optional>

#include "settings/dispatch_settings.h"

namespace parsleyhitch::runtime {

// Reads the settings anew; nothing when they can't be used, which it reports.
using settings_source =
    std::function<std::optional<settings::dispatch_settings>()>;

// Runs until the entry has shut down. Throws std::exception when it can't
// listen.
void RunDispatcher(const settings::dispatch_settings& settings,
                   const settings_source& reread);

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_DISPATCH_PROCESS_H_
