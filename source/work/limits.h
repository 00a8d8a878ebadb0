// All tunables of the dispatcher with their defaults. Durations are in
// milliseconds.

#ifndef PARSLEYHITCH_WORK_LIMITS_H_
#define PARSLEYHITCH_WORK_LIMITS_H_

#include <cstdint>

#include "model/time.h"

namespace parsleyhitch::work {

using model::duration;

struct limits {
  // Longest time between two evaluations of the state; bounds the delay of
  // every retry.
  const duration tick{100};

  // The store. A long poll ends early enough that a dead connection can't hide
  // a configuration change for 2 s, the users' bound.
  const duration read_wait{1200};
  const duration read_timeout{1700};
  // The pause before a failed read is repeated: doubled with each failure up to
  // `store_retry_max`, at the leader up to `leader_retry_max`.
  const duration read_retry{150};
  // Shortest time between two reads of records by a follower, to limit the load
  // on the store.
  const duration follower_read_pause{200};
  const duration worker_list_interval{400};
  const duration append_timeout{900};
  // Backs off like reads. A caller that waits 3 s gets a second append even if
  // the first one hangs for `append_timeout`.
  const duration append_retry{150};
  // Group commit: shortest time between two appends of one writer.
  const duration append_pause{20};
  const duration progress_pause{50};
  const std::uint32_t max_batch_records = 200;
  // The store counts as unreachable after this long without an answer.
  const duration store_silent{1000};

  // Leadership.
  const duration heartbeat_interval{250};
  // Election timeout: four missed heartbeats.
  const duration leader_silent{1100};
  // Delay between candidates of adjacent ranks; longer than one election takes.
  const duration election_stagger{150};
  // A leader gives no orders after this long without confirmation of its
  // leadership.
  const duration authority{2000};
  // A longer gap between two events means that the process was suspended.
  const duration stall{900};
  // How long a new leader waits for the workers' task lists.
  const duration settle_timeout{700};

  // Workers. The lease is at most the longest that they grant.
  const duration lease{6000};
  // The platform's bound on how much slower a worker's clock may run.
  const std::uint32_t clock_drift_permille = 20;
  const duration hold_wait{1500};
  const duration order_timeout{600};
  const duration order_retry{250};
  // Added to a lease before its tasks count as dead: longer than a worker takes
  // to stop a task. The settings derive it from that bound unless it is set.
  const duration lapse_margin{500};
  // A worker is removed after it was absent this long from lists that were read
  // successfully.
  const duration unlisted_gone{3000};
  // A worker is shunned after this many consecutive failures of different jobs;
  // a single failure may be the job's own fault.
  const std::uint32_t failures_to_shun = 2;
  // How long a shunned worker gets no work: doubled with each further failure
  // up to the maximum.
  const duration shun_base{2000};
  const duration shun_max{20000};
  // After waiting this long a unit accepts shunned workers, and any rack while
  // less than half of its service is in use. Well below 3 s, within which the
  // users expect a unit to start when there is capacity.
  const duration shun_patience{1500};

  // Jobs. Shortest time between two planning passes.
  const duration plan_pause{20};
  // The pause grows by 1 ms for every `plan_rate` queued units, so that
  // planning takes less than a fifth of the smallest entry's CPU share (see
  // `tools/bench`).
  const std::uint32_t plan_rate{10};
  const duration plan_pause_max{200};
  // Back-off of a preempted background unit, doubled with each preemption up to
  // the maximum. Below 3 s, within which work must start when there is
  // capacity.
  const duration preempted_base{500};
  const duration preempted_max{2000};
  // Number of attempts reserved for each unit in one epoch.
  const std::uint64_t attempts_per_epoch = 1000;
  // Share of the slack in the latency objective, in thousandths, that may be
  // spent waiting for capacity near the data where no forecast decides.
  const std::uint32_t near_patience_permille = 500;

  // Callers. Assumed when a caller does not say how long it waits.
  const duration default_patience{3000};
  // Answers are sent this long before the caller stops waiting.
  const duration answer_margin{200};
  const duration retry_after{1000};
  // Once the store has been unreachable this long, calls are relayed to the
  // leader while its heartbeats arrive.
  const duration relay_after{150};
  // Once the store has been unreachable this long, calls that need it are
  // refused immediately, so that callers waiting 3 s can still retry.
  const duration refuse_after{300};
  // An append that takes longer counts the store as slow.
  const duration slow_append{250};
  // An entry reads the newest configuration within 3 s of the end of a fault: a
  // read that hangs takes `read_timeout`, and the page itself needs time.
  const duration store_retry_max{600};
  // Several attempts within `store_silent`, after which a leader without the
  // store is replaced.
  const duration leader_retry_max{300};
  // How many tasks a leader starts a second for each core of its CPU share. A
  // start takes up to 0.2 ms with its connection, so that starts leave most of
  // the share to the answers of the workers.
  const std::uint32_t start_rate{2000};
  // The pause between two planning passes also grows by 1 ms for every
  // `plan_scan_rate` units and workers, as a pass looks through all of them.
  const std::uint32_t plan_scan_rate{75};

  // Proxies. How many workers an entry calls for each core of its CPU share: a
  // call takes up to 0.3 ms, a worker is called four times a second in a crest,
  // and calls should take less than a quarter of the share. A leader of more
  // workers forwards its orders to other entries, its proxies.
  const std::uint32_t workers_per_core{200};
  // A proxy is replaced after four missed heartbeats, well before the leases of
  // its workers expire.
  const duration proxy_silent{1100};
  // Forwarded orders and their answers are collected for this long.
  const duration forward_pause{5};
  // Added to an order's time-out before a forwarded order counts as unanswered:
  // the way to the proxy and back.
  const duration forward_margin{400};

  // Jobs that were closed long ago are deleted with one append in each pause,
  // `max_batch_records` of them at most: ten times what a site of 4 jobs a
  // second closes meanwhile, so that a backlog of a day is gone within hours.
  // Every entry reads what is written.
  const duration deletion_pause{5000};

  // How much a slowdown of tasks beside others counts in the choice among
  // workers with room, in thousandths; 0 neither learns nor uses any.
  const std::uint32_t interference_weight_permille = 1000;

  bool operator==(const limits&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_LIMITS_H_
