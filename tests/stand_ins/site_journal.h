// What the platform's stand-in is told and what it tells, shared with the
// tests.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_SITE_JOURNAL_H_
#define PARSLEYHITCH_TESTS_STAND_INS_SITE_JOURNAL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "wire/json_codec.h"

namespace parsleyhitch::stand_ins {

// Replaces all failures that were inflicted before.
struct site_control {
  const bool store_down = false;
  // So many appends take effect and are answered with an error.
  const std::uint32_t lose_answers = 0;
  // Forgets all records but the newest of each key, once.
  const bool compact = false;
  // Workers by index: out of reach, or failing all they run.
  const std::vector<std::uint32_t> cut{};
  const std::vector<std::uint32_t> failing{};
  // Workers that start anew under their names, once.
  const std::vector<std::uint32_t> restart{};
};
PARSLEYHITCH_DESCRIBE(site_control,
                      store_down,
                      lose_answers,
                      compact,
                      cut,
                      failing,
                      restart)

struct site_journal {
  // Breaches of the platform's rules, in words.
  const std::vector<std::string> breaches{};
  // Tasks that were started, repeats included, and those that run now.
  const std::uint64_t starts = 0;
  const std::uint64_t running = 0;
  // Jobs of which a worker was told to start a task.
  const std::vector<std::string> jobs{};
};
PARSLEYHITCH_DESCRIBE(site_journal, breaches, starts, running, jobs)

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_SITE_JOURNAL_H_
