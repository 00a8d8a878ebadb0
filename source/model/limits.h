// Every tunable of the reducer, declared once, with its unit and its default.
// Package settings maps each to a key of the settings file.

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
  // Appends between two checkpoints of the ledger, and the parts of one chunk.
  const std::uint32_t checkpoint_every_batches = 2000;
  const duration checkpoint_interval{600000};
  const std::uint32_t checkpoint_chunk_parts = 256;

  // Peers.
  const duration heartbeat_interval{500};
  const duration peer_timeout{2000};
  const std::uint32_t relay_buffer_batches = 256;

  // VM list.
  const duration vm_list_interval{1000};
  const duration vm_list_timeout{1000};

  // Graceful shutdown: new calls are taken until the grace ends; the process
  // stops by the timeout at the latest.
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
  const std::uint32_t plan_scan = 512;
  // Shortest time between two plans, and the longest while jobs wait.
  const duration plan_pause{20};
  const duration plan_interval{1000};
  const std::uint32_t reserved_starts = 4;
  // Single-member jobs expected to run no longer than this go before longer
  // work.
  const duration short_job{30000};
  // Firm jobs of at least this priority preempt borrowed capacity at once;
  // others after they have waited for `defragment_after`.
  const std::int32_t urgent_priority = 100;
  const duration defragment_after{10000};
  const std::uint32_t finished_jobs_kept = 20000;

  // Requests.
  const std::uint32_t max_open_requests = 4096;
  // Permille of an endpoint's slots that only urgent requests may use.
  const std::uint32_t urgent_slots_permille = 50;
  const std::uint32_t max_request_attempts = 3;
  // Retries allowed per hundred first attempts, and the tokens kept for them.
  const std::uint32_t retry_budget_percent = 20;
  const std::uint32_t retry_budget_cap = 50;
  const duration retry_backoff{20};
  const duration key_retention{600000};
  const duration retry_after{1000};
  const std::uint32_t endpoint_failures_to_eject = 3;

  bool operator==(const limits&) const = default;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_LIMITS_H_
