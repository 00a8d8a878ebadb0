// Every tunable of the dispatcher, declared once, with its unit and default.

#ifndef PARSLEYHITCH_WORK_LIMITS_H_
#define PARSLEYHITCH_WORK_LIMITS_H_

#include <cstdint>

#include "model/time.h"

namespace parsleyhitch::work {

using model::duration;

struct limits {
  // Longest time between two looks at the state; bounds every resend.
  const duration tick{100};

  // The store. Long reads end before a silent connection could hide a change
  // of the configuration for 2 s, the users' bound.
  const duration read_wait{1200};
  const duration read_timeout{1700};
  const duration read_retry{150};
  // Followers read records no more often than this, to spare read calls.
  const duration follower_read_pause{200};
  const duration worker_list_interval{400};
  const duration append_timeout{900};
  const duration append_retry{150};
  // Group commit: shortest time between two appends of one writer.
  const duration append_pause{20};
  const duration progress_pause{50};
  const std::uint32_t max_batch_records = 200;
  // A store that has not answered for so long counts as out of reach.
  const duration store_silent{1000};

  // Leadership.
  const duration heartbeat_interval{250};
  // Four heartbeats missed.
  const duration leader_silent{1100};
  // Between candidates of neighbouring ranks, above one election's time.
  const duration election_stagger{150};
  // A leader whose authority nobody has confirmed for so long gives no orders.
  const duration authority{2000};
  // A gap between two events above this means that the process stood still.
  const duration stall{900};
  // Waits so long for workers' lists after an election.
  const duration settle_timeout{700};

  // Workers.
  const duration lease{6000};
  // The platform's bound on how slow a worker's clock may be.
  const std::uint32_t clock_drift_permille = 20;
  const duration hold_wait{1500};
  const duration order_timeout{600};
  const duration order_retry{250};
  // Added to a lease before its end is taken for sure: a stop's longest time.
  const duration lapse_margin{500};
  // A worker missing from the list for so long, with the list read, is gone.
  const duration unlisted_gone{3000};
  // Failures of different jobs in a row after which a worker is shunned: one
  // may be the job's own.
  const std::uint32_t failures_to_shun = 2;
  // A shunned worker gets no work for so long, doubled with each further
  // failure up to the maximum.
  const duration shun_base{2000};
  const duration shun_max{20000};
  // A unit that has waited for so long takes a shunned worker too, well within
  // the 3 s in which the users expect a unit with room to start.
  const duration shun_patience{1500};

  // Jobs.
  const duration plan_pause{20};
  // Queued units for each further millisecond of that pause: a pass then takes
  // under a fifth of the smallest entry's share (`tools/bench`).
  const std::uint32_t plan_rate{10};
  const duration plan_pause_max{200};
  // Background work that was stopped for other work waits so long, doubled with
  // each further time up to the maximum: under the 3 s in which work that has
  // room must start.
  const duration preempted_base{500};
  const duration preempted_max{2000};
  // Attempt numbers that one epoch can use for a unit.
  const std::uint64_t attempts_per_epoch = 1000;
  // How much of the patience that the objective leaves is spent waiting for a
  // place near the data, in thousandths.
  const std::uint32_t near_patience_permille = 500;

  // Callers.
  const duration default_patience{3000};
  // Answers leave so long before the caller stops waiting.
  const duration answer_margin{200};
  const duration retry_after{1000};
  const duration relay_after{150};
  // With the store away for so long, what needs it is refused at once: callers
  // whose patience is 3 s can come back in time.
  const duration refuse_after{300};

  bool operator==(const limits&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_LIMITS_H_
