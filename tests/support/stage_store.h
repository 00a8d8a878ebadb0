// The platform's store in memory: keyed logs with positions, writers with
// epochs and sequences, and ways to fail.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_STAGE_STORE_H_
#define PARSLEYHITCH_TESTS_SUPPORT_STAGE_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "support/store_writers.h"
#include "work/effect.h"

namespace parsleyhitch::tests {

class stage_store {
 public:
  // Failures. A lost answer is one of an append that was stored.
  bool down = false;
  std::uint32_t lose_answers = 0;

  work::append_answered Append(const work::append_records& effect);
  // Everything from a position on.
  work::feed_read Read(const work::read_feed& effect) const;
  bool HasNews(const work::read_feed& effect) const;
  bool IsTrimmed(const work::read_feed& effect) const;
  work::newest_read Newest(const work::read_newest& effect) const;
  // What the operator or a worker wrote; an absent value drops the key.
  void Put(work::feed source,
           const std::string& key,
           std::optional<work::feed_value> value);
  // Forgets all records but the newest of each key.
  void Compact();

  const std::vector<work::feed_item>& records() const {
    return logs_.at(work::feed::kRecords).items;
  }

 private:
  struct log {
    std::vector<work::feed_item> items;
    // Reads from below this position fail.
    std::uint64_t first = 0;
  };
  std::map<work::feed, log> logs_{{work::feed::kRecords, {}},
                                  {work::feed::kCatalog, {}},
                                  {work::feed::kWorkers, {}}};
  store_writers writers_;
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_SUPPORT_STAGE_STORE_H_
