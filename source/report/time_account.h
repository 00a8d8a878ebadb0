// How much time a process has spent on each part of its work, and how often it
// did it: whether a busy process is short of time because of more work, or of
// work that takes longer.

#ifndef PARSLEYHITCH_REPORT_TIME_ACCOUNT_H_
#define PARSLEYHITCH_REPORT_TIME_ACCOUNT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "work/effect.h"

namespace parsleyhitch::report {

struct part_time {
  std::uint64_t count = 0;
  std::chrono::nanoseconds spent{0};

  bool operator==(const part_time&) const = default;
};

struct time_account {
  std::map<std::string, part_time> parts;

  bool operator==(const time_account&) const = default;
};

time_account Add(time_account account,
                 const std::string& part,
                 std::chrono::nanoseconds spent);

// The time spent on all parts.
std::chrono::nanoseconds Total(const time_account& account);

// Two fields for each part, its count and its milliseconds, without the parts
// that took less than `least`.
std::vector<work::log_field> FieldsOf(const time_account& account,
                                      std::chrono::nanoseconds least);

// The part that an event or effect belongs to: the name of its kind.
std::string PartOf(const work::event& event);
std::string PartOf(const work::effect& effect);

}  // namespace parsleyhitch::report

#endif  // PARSLEYHITCH_REPORT_TIME_ACCOUNT_H_
