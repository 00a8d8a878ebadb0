// A clock that starts at the system time and never goes backwards.

#ifndef PARSLEYHITCH_RUNTIME_MONOTONIC_CLOCK_H_
#define PARSLEYHITCH_RUNTIME_MONOTONIC_CLOCK_H_

#include <time.h>

#include <chrono>

#include "model/time.h"

namespace parsleyhitch::runtime {

// Includes time spent in suspend (clock_gettime(2), CLOCK_BOOTTIME): otherwise
// a lease would appear younger than it is after the machine resumes.
class monotonic_clock {
 public:
  model::timestamp Now() const {
    return std::chrono::time_point_cast<model::duration>(
        system_start_ + (SinceBoot() - boot_start_));
  }

 private:
  static std::chrono::nanoseconds SinceBoot() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::nanoseconds(now.tv_nsec);
  }

  std::chrono::nanoseconds boot_start_ = SinceBoot();
  std::chrono::system_clock::time_point system_start_ =
      std::chrono::system_clock::now();
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_MONOTONIC_CLOCK_H_
