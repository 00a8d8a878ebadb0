// One soak run: faults are injected while callers send requests; afterwards
// everything is repaired and the invariants are checked.

#ifndef PARSLEYHITCH_SOAK_SOAK_H_
#define PARSLEYHITCH_SOAK_SOAK_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "soak/schedule.h"
#include "support/platform_site.h"

namespace parsleyhitch::soak {

struct soak_result {
  std::uint64_t faults = 0;
  std::uint64_t jobs = 0;
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t starts = 0;
  // Descriptions of violated invariants; empty if all held.
  std::vector<std::string> breaches;
  // Logs of the entries, if an invariant was violated.
  std::string logs;
};

soak_result RunSoak(std::uint64_t seed,
                    std::chrono::milliseconds length,
                    fault_set set,
                    const test::site_options& options);

}  // namespace parsleyhitch::soak

#endif  // PARSLEYHITCH_SOAK_SOAK_H_
