// The store's writers: which appends it takes, by epoch and sequence.

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
  struct verdict {
    work::append_outcome outcome = work::append_outcome::kStored;
    // Of a stored append, the first time or again.
    std::uint64_t end = 0;
    // Of one out of sequence: the number that was expected.
    std::uint64_t expected = 0;
  };

  // `store` is called only for an append that is new, and gives the log's end
  // after it.
  verdict Take(const std::string& name,
               std::uint64_t epoch,
               std::uint64_t sequence,
               const std::function<std::uint64_t()>& store) {
    writer& from = writers_[name];
    if (epoch < from.epoch)
      return {.outcome = work::append_outcome::kFenced};
    const auto known = from.ends.find(sequence);
    if (epoch == from.epoch && known != from.ends.end())
      return {.end = known->second};
    if (epoch == from.epoch && sequence != from.next) {
      return {.outcome = work::append_outcome::kOutOfSequence,
              .expected = from.next};
    }
    if (epoch > from.epoch)
      from.ends.clear();
    from.epoch = epoch;
    from.next = sequence + 1;
    from.ends[sequence] = store();
    return {.end = from.ends[sequence]};
  }

 private:
  struct writer {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    // The end that each append of the epoch was answered with.
    std::map<std::uint64_t, std::uint64_t> ends;
  };

  std::map<std::string, writer> writers_;
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_SUPPORT_STORE_WRITERS_H_
