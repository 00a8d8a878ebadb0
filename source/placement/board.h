// The capacity that a plan may use, worker by worker.

#ifndef PARSLEYHITCH_PLACEMENT_BOARD_H_
#define PARSLEYHITCH_PLACEMENT_BOARD_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "work/job.h"
#include "work/resources.h"

namespace parsleyhitch::placement {

// One worker that may take tasks.
struct slot {
  work::service_id service;
  work::rack_id rack;
  std::vector<std::string> labels;
  // Capacity that nothing uses.
  work::resources free;
  // Capacity of tasks that are being stopped; it becomes free soon.
  work::resources leaving;
  // The worker failed lately; it is used only where nothing else is left.
  bool shunned = false;
};

struct board {
  std::map<work::worker_id, slot> slots;

  // Takes `need` on the worker: from what is free first, else from what is
  // leaving.
  void Take(const work::worker_id& worker, const work::resources& need);
};

// What a unit needs.
struct demand {
  work::service_id service;
  std::uint32_t members = 1;
  work::resources need;
  std::string required_label;
  bool same_rack = false;
  work::rack_id data_rack;
  // A place away from the data's rack, or on several racks, is acceptable.
  bool accepts_far = false;
  // Workers that failed lately are acceptable.
  bool accepts_shunned = false;
  // Workers on which an earlier attempt failed.
  std::set<work::worker_id> avoided;
  std::uint32_t max_per_worker = 0;
  // Tasks of the same step that each worker has already.
  std::map<work::worker_id, std::uint32_t> siblings;
};

// True when the worker may run the demand's tasks at all.
bool Suits(const demand& asked,
           const work::worker_id& worker,
           const slot& offered);

// How many tasks of the demand `room` holds, by its amounts and the bound of
// tasks a worker.
std::uint32_t CountFits(const demand& asked,
                        const work::worker_id& worker,
                        const work::resources& room);

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_BOARD_H_
