// The settings of an entry that dispatches jobs on the users' platform.

#ifndef PARSLEYHITCH_SETTINGS_DISPATCH_SETTINGS_H_
#define PARSLEYHITCH_SETTINGS_DISPATCH_SETTINGS_H_

#include <cstdint>
#include <string>

#include "model/identifier.h"
#include "wire/base.h"
#include "work/limits.h"

namespace parsleyhitch::settings {

struct dispatch_settings {
  const model::entry_id entry;
  const model::failure_domain_id failure_domain;
  // "ip:port" for callers, for the balancer's probes, for other entries, and
  // for scrapers.
  const std::string callers_listen;
  const std::string probes_listen;
  const std::string peers_listen;
  const std::string metrics_listen;
  // "ip:port" of the store.
  const std::string store_address;
  // Share of a core that the machine has.
  const double cpu_share = 1.0;
  // Seconds between the signal to stop and the end by force.
  const double shutdown_grace_s = 5.0;
  // Workers shorten longer leases to this.
  const model::duration longest_lease{10000};
  // Longest time that a worker takes to stop a task.
  const model::duration task_stop{200};
  const std::uint32_t max_body_bytes = 262144;
  const work::limits limits;

  bool operator==(const dispatch_settings&) const = default;
};

// The checked settings, or every finding with line and column.
wire::result<dispatch_settings> ParseDispatchSettings(const std::string& text);

// True when the text has a key that only these settings have.
bool LooksLikeDispatchSettings(const std::string& text);

}  // namespace parsleyhitch::settings

#endif  // PARSLEYHITCH_SETTINGS_DISPATCH_SETTINGS_H_
