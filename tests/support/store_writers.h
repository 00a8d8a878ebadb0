// Fencing and deduplication of appends, as the platform's store does it: by
// each writer's epoch and sequence.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_STORE_WRITERS_H_
#define PARSLEYHITCH_TESTS_SUPPORT_STORE_WRITERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "work/event.h"

namespace parsleyhitch::tests {

class store_writers {
 public:
  struct append_result {
    work::append_outcome outcome = work::append_outcome::kStored;
    // For kStored: the log's end after the append, also if it is a repeat.
    std::uint64_t end = 0;
    // For kOutOfSequence: the expected sequence.
    std::uint64_t expected = 0;
  };

  // Calls `store` only for an append that is new; `store` returns the log's end
  // after the append.
  append_result TryAppend(const std::string& name,
                          std::uint64_t epoch,
                          std::uint64_t sequence,
                          const std::function<std::uint64_t()>& store) {
    writer& current = writers_[name];
    if (epoch < current.epoch)
      return {.outcome = work::append_outcome::kFenced};
    const auto repeated = current.ends.find(sequence);
    if (epoch == current.epoch && repeated != current.ends.end())
      return {.end = repeated->second};
    if (epoch == current.epoch && sequence != current.next) {
      return {.outcome = work::append_outcome::kOutOfSequence,
              .expected = current.next};
    }
    if (epoch > current.epoch)
      current.ends.clear();
    current.epoch = epoch;
    current.next = sequence + 1;
    current.ends[sequence] = store();
    return {.end = current.ends[sequence]};
  }

 private:
  struct writer {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    // The log's end after each append of the epoch, by sequence.
    std::map<std::uint64_t, std::uint64_t> ends;
  };

  std::map<std::string, writer> writers_;
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_SUPPORT_STORE_WRITERS_H_
