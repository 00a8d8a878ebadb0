// Rendezvous hashing, which makes one entry responsible for each subject, such
// as a worker. This divides the work so that the proposals of different entries
// seldom conflict, but gives no exclusive right: an entry with a wrong view of
// its peers only causes a void proposal or a repeated sync.

#ifndef PARSLEYHITCH_SCHEDULER_RENDEZVOUS_H_
#define PARSLEYHITCH_SCHEDULER_RENDEZVOUS_H_

#include <string_view>
#include <vector>

#include "model/identifier.h"
#include "scheduler/hooks.h"

namespace parsleyhitch::scheduler {

// The entry with the highest weight for `subject`; empty if `entries` is.
model::entry_id ResponsibleEntry(const hooks& hooks,
                                 std::string_view subject,
                                 const std::vector<model::entry_id>& entries);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_RENDEZVOUS_H_
