// Settings of an entry that dispatches jobs on the platform's store and
// workers.

#ifndef PARSLEYHITCH_SETTINGS_DISPATCH_SETTINGS_H_
#define PARSLEYHITCH_SETTINGS_DISPATCH_SETTINGS_H_

#include <cstdint>
#include <string>

#include "model/identifier.h"
#include "wire/base.h"
#include "work/limits.h"
#include "work/policies.h"

namespace parsleyhitch::settings {

struct dispatch_settings {
  const model::entry_id entry;
  const model::failure_domain_id failure_domain;
  // Listening addresses, "ip:port", for callers, for the load balancer's health
  // probes, for other entries and for metrics scrapers.
  const std::string callers_listen;
  const std::string probes_listen;
  const std::string peers_listen;
  const std::string metrics_listen;
  // "ip:port" of the store.
  const std::string store_address;
  // CPU available to the entry, in cores.
  const double cpu_share = 1.0;
  // Seconds between the signal to stop and the forced end of the process.
  const double shutdown_grace_s = 5.0;
  // The longest lease that workers grant; they shorten longer ones to this.
  const model::duration longest_lease{10000};
  // The longest time that a worker needs to stop a task.
  const model::duration task_stop{200};
  const std::uint32_t max_body_bytes = 262144;
  const work::limits limits;
  // What the store takes: bytes of one record, and of all records of one
  // append.
  const std::uint32_t max_record_bytes = 262144;
  const std::uint32_t max_append_bytes = 2097152;
  // Seconds for which callers are told the state of a closed job, at least.
  const double job_state_kept_s = 120.0;
  // Seconds of work between two checkpoints of a task, and the time that it
  // takes to resume from one.
  const double checkpoint_interval_s = 2.0;
  const model::duration checkpoint_restore{250};
  // How many times as long a task takes away from its data or rack.
  const double remote_slowdown = 3.0;
  // Memory of the machine; by default that of the smallest that runs an entry.
  // A quarter of it is for connections of clients.
  const std::uint32_t memory_mb = 120;
  // Files and sockets that the machine allows; 0 for the process's own limit,
  // which bounds it in any case.
  const std::uint32_t max_descriptors = 0;
  // What clients may send, unless the published configuration states it. Heads
  // of up to 80 KB and waits of 60 s were always allowed.
  const std::uint32_t max_header_bytes = 81920;
  const model::duration header_timeout{60000};
  const model::duration idle_timeout{60000};
  // Open connections of callers; 0 for half of the descriptors that are not
  // left to files, which bounds it in any case.
  const std::uint32_t max_client_connections = 0;
  // Open connections of probes and metrics scrapers.
  const std::uint32_t max_operator_connections = 64;
  // Open connections of one client address; 0 for no limit, as a load balancer
  // forwards many callers from few addresses.
  const std::uint32_t max_connections_per_address = 0;
  // Milliseconds from the acceptance of a job within its workspace's guarantee
  // until all tasks of its first step must have begun.
  const model::duration reclaim_bound{2700};
  const work::policies policies;

  bool operator==(const dispatch_settings&) const = default;
};

// The validated settings, or all findings with line and column.
wire::result<dispatch_settings> ParseDispatchSettings(const std::string& text);

// True if the text has a key that occurs only in these settings.
bool LooksLikeDispatchSettings(const std::string& text);

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_DISPATCH_SETTINGS_H_
