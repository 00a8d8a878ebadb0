// The capacity that a plan may use: the workers of each service, rack by rack.

#ifndef PARSLEYHITCH_PLACEMENT_BOARD_H_
#define PARSLEYHITCH_PLACEMENT_BOARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "work/job.h"
#include "work/resources.h"

namespace parsleyhitch::placement {

// One worker that may take tasks.
struct slot {
  work::worker_id worker;
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

// Slots next to each other, from `first` up to but without `last`.
struct slot_range {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  bool operator==(const slot_range&) const = default;
};

// A rack's slots.
struct rack_slots {
  work::rack_id rack;
  slot_range slots;
};

class board {
 public:
  explicit board(std::vector<slot> offered);

  // By service, rack and worker.
  const std::vector<slot>& slots() const { return slots_; }
  // All slots of the service, and the same by rack; empty when there are none.
  slot_range SlotsOf(const work::service_id& service) const;
  const std::vector<rack_slots>& RacksOf(const work::service_id& service) const;
  std::optional<std::uint32_t> IndexOf(const work::worker_id& worker) const;
  // At least the largest free amounts of any slot of the service.
  work::resources MostFree(const work::service_id& service) const;

  // Takes `need` on the worker: from what is free first, else from what is
  // leaving.
  void Take(const work::worker_id& worker, const work::resources& need);
  // What holds `need` on the worker is being stopped.
  void NoteLeaving(const work::worker_id& worker, const work::resources& need);

 private:
  struct pool {
    slot_range slots;
    std::vector<rack_slots> racks;
  };

  std::vector<slot> slots_;
  std::map<work::service_id, pool> pools_;
  std::map<work::worker_id, std::uint32_t> index_;
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

  auto operator<=>(const demand&) const = default;
};

// True when the worker may run the demand's tasks at all.
bool Suits(const demand& asked, const slot& offered);

// How many tasks of the demand `room` holds, by its amounts and the bound of
// tasks a worker.
std::uint32_t CountFits(const demand& asked,
                        const slot& offered,
                        const work::resources& room);

// The larger of each amount.
work::resources Largest(const work::resources& a, const work::resources& b);

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_BOARD_H_
