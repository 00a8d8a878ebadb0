// The free capacity that one planning pass may use: the workers of each
// service, grouped by rack.

#ifndef PARSLEYHITCH_PLACEMENT_CAPACITY_MAP_H_
#define PARSLEYHITCH_PLACEMENT_CAPACITY_MAP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "work/job.h"
#include "work/resources.h"

namespace parsleyhitch::placement {

// One worker that may be given tasks.
struct worker_capacity {
  work::worker_id worker;
  work::service_id service;
  work::rack_id rack;
  std::vector<std::string> labels;
  // Unused capacity; negative when the worker is overcommitted or capacity was
  // taken in advance of tasks that are being stopped.
  work::resources free;
  // Capacity of tasks that are being stopped; becomes free when they end.
  work::resources leaving;
  // The worker failed recently and is used only for demands that accept it.
  bool shunned = false;
  // Nothing runs on it.
  bool idle = true;
};

// Contiguous slots from `first` up to, but not including, `last`. A slot is an
// index into `capacity_map::slots()`.
struct slot_range {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  bool operator==(const slot_range&) const = default;
};

// The slots of one service on one rack.
struct rack_slots {
  work::rack_id rack;
  slot_range slots;
};

class capacity_map {
 public:
  explicit capacity_map(std::vector<worker_capacity> slots);

  // Sorted by service, rack and worker.
  const std::vector<worker_capacity>& slots() const { return slots_; }
  // All slots of the service, and the same grouped by rack; empty when there
  // are none.
  slot_range SlotsOf(const work::service_id& service) const;
  const std::vector<rack_slots>& RacksOf(const work::service_id& service) const;
  std::optional<std::uint32_t> IndexOf(const work::worker_id& worker) const;
  // Upper bound of what any slot of the service has free: the largest amount of
  // each resource, possibly from different slots.
  work::resources MaxFree(const work::service_id& service) const;

  // Allocates `need` on the worker. `free` may become negative, to be covered
  // by `leaving`.
  void Take(const work::worker_id& worker, const work::resources& need);
  // Allocates all that the worker has.
  void TakeAll(const work::worker_id& worker);
  // Records that a task which occupies `need` on the worker is being stopped.
  void AddLeaving(const work::worker_id& worker, const work::resources& need);

 private:
  struct pool {
    slot_range slots;
    std::vector<rack_slots> racks;
  };

  std::vector<worker_capacity> slots_;
  std::map<work::service_id, pool> pools_;
  std::map<work::worker_id, std::uint32_t> index_;
};

// The requirements of a unit.
struct demand {
  work::service_id service;
  std::uint32_t members = 1;
  work::resources need;
  std::string required_label;
  bool same_rack = false;
  work::rack_id data_rack;
  // A placement off the data's rack, or across racks, is acceptable.
  bool accepts_remote = false;
  // Workers that failed recently, and those in `avoided`, are acceptable.
  bool accepts_shunned = false;
  // Only workers on which nothing else runs are acceptable.
  bool alone = false;
  // Workers on which an earlier attempt of the unit failed.
  std::set<work::worker_id> avoided;
  // 0 for no bound.
  std::uint32_t max_per_worker = 0;
  // Number of tasks of the same step that each worker already has.
  std::map<work::worker_id, std::uint32_t> same_step_tasks;

  auto operator<=>(const demand&) const = default;
};

// How long the demand's tasks are expected to take on the worker, in
// thousandths of the usual time. An empty function counts as 1000 everywhere.
using relative_run_time =
    std::function<std::uint32_t(const demand&, const worker_capacity&)>;

// True when the worker may run the demand's tasks, regardless of free capacity.
bool IsEligible(const demand& wanted, const worker_capacity& slot);

// Number of the demand's tasks that fit in `available` on the worker, limited
// by `max_per_worker`.
std::uint32_t CountFits(const demand& wanted,
                        const worker_capacity& slot,
                        const work::resources& available);

// The larger of each amount.
work::resources ElementwiseMax(const work::resources& a,
                               const work::resources& b);

}  // namespace parsleyhitch::placement

#endif  // PARSLEYHITCH_PLACEMENT_CAPACITY_MAP_H_
