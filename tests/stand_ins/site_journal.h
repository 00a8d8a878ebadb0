// Control messages to the platform's stand-in and the journal that it returns,
// shared with the tests.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_SITE_JOURNAL_H_
#define PARSLEYHITCH_TESTS_STAND_INS_SITE_JOURNAL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "wire/json_codec.h"

namespace parsleyhitch::stand_ins {

// Replaces all earlier faults.
struct site_control {
  const bool store_down = false;
  // Number of appends that take effect but are answered with an error.
  const std::uint32_t lose_answers = 0;
  // Compacts the store once: from then on reads from a position below the
  // current end fail as trimmed.
  const bool compact = false;
  // Indexes of workers that can't be reached, and of those that fail all tasks.
  const std::vector<std::uint32_t> cut{};
  const std::vector<std::uint32_t> failing{};
  // Indexes of workers that restart once under their IDs.
  const std::vector<std::uint32_t> restart{};
  // The store and these workers answer a share of their calls with 503 and do
  // nothing.
  const bool store_sheds = false;
  const std::vector<std::uint32_t> shedding{};
  // Indexes of workers that leave each second start unanswered and carry it out
  // some seconds later, of those that have crashed until they are named no
  // more, and of those whose heartbeats do not reach the store.
  const std::vector<std::uint32_t> late{};
  const std::vector<std::uint32_t> crashed{};
  const std::vector<std::uint32_t> unlisted{};
  // Failure domains that the operators have evacuated, by number.
  const std::vector<std::uint32_t> evacuated{};
  // Indexes of workers on which tasks take five times as long.
  const std::vector<std::uint32_t> slow{};
};
PARSLEYHITCH_DESCRIBE(site_control,
                      store_down,
                      lose_answers,
                      compact,
                      cut,
                      failing,
                      restart,
                      store_sheds,
                      shedding,
                      late,
                      crashed,
                      unlisted,
                      evacuated,
                      slow)

struct site_journal {
  // Descriptions of breaches of the platform's rules, oldest first.
  const std::vector<std::string> breaches{};
  // Number of task starts, including repeated ones, and of tasks that run now.
  const std::uint64_t starts = 0;
  const std::uint64_t running = 0;
  // Jobs for which a worker received a start order.
  const std::vector<std::string> jobs{};
  // Jobs with a task or a gang of which as many runs have failed as its queue
  // allows.
  const std::vector<std::string> exhausted{};
};
PARSLEYHITCH_DESCRIBE(site_journal, breaches, starts, running, jobs, exhausted)

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_SITE_JOURNAL_H_
