// Bounds that the platform states for its workers. They differ between
// deployments.

#ifndef PARSLEYHITCH_WORK_BOUNDS_H_
#define PARSLEYHITCH_WORK_BOUNDS_H_

#include <cstdint>

#include "model/time.h"

namespace parsleyhitch::work {

struct platform_bounds {
  // The longest time that a worker takes to stop a task.
  model::duration task_stop{200};
  // Work between two checkpoints of a task; a stop takes one as well.
  model::duration checkpoint_interval{2000};
  // The time that a task takes to resume from a checkpoint.
  model::duration checkpoint_restore{250};
  // How much longer a task runs away from its data, and a step whose tasks
  // belong on one rack across several, in thousandths.
  std::uint32_t remote_permille = 3000;

  // From the acceptance of a job within its workspace's guarantee until all
  // tasks of its first step must have begun.
  model::duration reclaim{2700};

  bool operator==(const platform_bounds&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_BOUNDS_H_
