// Highest-random-weight hashing (Thaler and Ravishankar, 1998).

#include "scheduler/rendezvous.h"

#include <cstdint>
#include <string>

namespace parsleyhitch::scheduler {

model::entry_id HomeOf(const hooks& hooks,
                       std::string_view subject,
                       const std::vector<model::entry_id>& entries) {
  model::entry_id home;
  std::uint64_t highest = 0;
  for (const model::entry_id& entry : entries) {
    std::string text(subject);
    text += '\0';
    text += entry.value();
    const std::uint64_t weight = hooks.hash(text);
    if (!home.empty() && weight <= highest)
      continue;
    home = entry;
    highest = weight;
  }
  return home;
}

}  // namespace parsleyhitch::scheduler
