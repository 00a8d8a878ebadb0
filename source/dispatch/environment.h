// Fixed parameters of a reducer: the identity of the entry, its limits, and the
// hooks for behaviour that varies.

#ifndef PARSLEYHITCH_DISPATCH_ENVIRONMENT_H_
#define PARSLEYHITCH_DISPATCH_ENVIRONMENT_H_

#include <cstdint>
#include <string>

#include "dispatch/hooks.h"
#include "work/bounds.h"
#include "work/limits.h"
#include "work/policies.h"
#include "work/record.h"

namespace parsleyhitch::dispatch {

struct environment {
  work::entry_id self;
  // "ip:port" at which other entries reach this one.
  std::string peer_address;
  // Thousandths of a core.
  std::uint32_t cpu_millis = 1000;
  // The longest lease that workers grant; they cut longer ones to it.
  work::duration longest_lease{10000};
  work::platform_bounds bounds;
  // How long callers are told the state of a closed job, at least.
  work::duration job_state_kept{120000};
  // What the store takes: bytes of one record, and of all records of one
  // append.
  std::uint64_t max_record_bytes = 262144;
  std::uint64_t max_append_bytes = 2097152;
  work::limits limits;
  work::policies policies;
  hooks behaviour;
};

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_ENVIRONMENT_H_
