// Highest-random-weight hashing (Thaler and Ravishankar, 1998).

#include "scheduler/rendezvous.h"

#include <cstdint>
#include <string>

namespace parsleyhitch::scheduler {

model::entry_id ResponsibleEntry(const hooks& hooks,
                                 std::string_view subject,
                                 const std::vector<model::entry_id>& entries) {
  model::entry_id responsible;
  std::uint64_t highest = 0;
  for (const model::entry_id& entry : entries) {
    std::string text(subject);
    text += '\0';
    text += entry.value();
    const std::uint64_t weight = hooks.hash(text);
    if (!responsible.empty() && weight <= highest)
      continue;
    responsible = entry;
    highest = weight;
  }
  return responsible;
}

}  // namespace parsleyhitch::scheduler
