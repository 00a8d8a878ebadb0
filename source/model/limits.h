// The reducer's tunable limits and their defaults. Durations are in
// milliseconds. Package settings maps each limit to a key of the settings file.

#ifndef PARSLEYHITCH_MODEL_LIMITS_H_
#define PARSLEYHITCH_MODEL_LIMITS_H_

#include <cstdint>

#include "model/time.h"

namespace parsleyhitch::model {

struct limits {
  // Platform log.
  const duration append_interval{50};
  const duration append_timeout{2000};
  const duration append_retry{250};
  const duration read_wait{5000};
  const duration read_timeout{7000};
  const duration read_retry{250};
  const std::uint32_t max_batch_records = 256;
  // A checkpoint of the ledger is due after this many batches or this interval.
  // Each record of a checkpoint carries at most `checkpoint_chunk_parts` parts.
  const std::uint32_t checkpoint_every_batches = 2000;
  const duration checkpoint_interval{600000};
  const std::uint32_t checkpoint_chunk_parts = 256;

  // Peers.
  const duration heartbeat_interval{500};
  const duration peer_timeout{2000};
  // Most recent batches kept for relaying to peers.
  const std::uint32_t relay_buffer_batches = 256;

  // VM list.
  const duration vm_list_interval{1000};
  const duration vm_list_timeout{1000};

  // Graceful shutdown: new calls are accepted until `drain_grace` has passed;
  // the process exits after `drain_timeout` at the latest.
  const duration drain_grace{1000};
  const duration drain_timeout{15000};

  // Workers.
  const duration sync_interval{1000};
  const duration sync_timeout{900};
  const duration lease{4000};
  const duration checkpoint_timeout{3000};
  const std::uint32_t worker_failures_to_eject = 3;
  const duration eject_base{5000};
  const duration eject_max{300000};

  // Jobs.
  const std::uint32_t max_attempts = 5;
  // Waiting jobs that each pass of the planner examines at most.
  const std::uint32_t plan_scan = 512;
  // Minimum time between two planning runs, and the maximum while jobs wait.
  const duration plan_pause{20};
  const duration plan_interval{1000};
  // Blocked jobs for which a planning run reserves a later start at most.
  const std::uint32_t reserved_starts = 4;
  // Single-member jobs with an expected run time of at most this are placed
  // before longer jobs.
  const duration short_job{30000};
  // Firm jobs of at least `urgent_priority` preempt soft placements at once;
  // other firm jobs do so after they have waited for `defragment_after`.
  const std::int32_t urgent_priority = 100;
  const duration defragment_after{10000};
  const std::uint32_t finished_jobs_kept = 20000;

  // Requests.
  const std::uint32_t max_open_requests = 4096;
  // Share of an endpoint's slots that is set aside for urgent requests.
  const std::uint32_t urgent_slots_permille = 50;
  const std::uint32_t max_request_attempts = 3;
  // Retries allowed per 100 first attempts, and the maximum number of retries
  // that can be saved up.
  const std::uint32_t retry_budget_percent = 20;
  const std::uint32_t retry_budget_cap = 50;
  const duration retry_backoff{20};
  // How long a claim on a non-idempotent request is kept, with its result.
  const duration key_retention{600000};
  const duration retry_after{1000};
  const std::uint32_t endpoint_failures_to_eject = 3;

  bool operator==(const limits&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_LIMITS_H_
