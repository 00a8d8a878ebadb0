// An in-memory model of the platform's store: one keyed log for each feed,
// writers that are fenced by epoch and sequence, and faults that a test
// injects.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_SIMULATED_STORE_H_
#define PARSLEYHITCH_TESTS_SUPPORT_SIMULATED_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "support/store_writers.h"
#include "work/effect.h"

namespace parsleyhitch::tests {

class simulated_store {
 public:
  // Faults. `lose_answers` is the number of appends that are stored but whose
  // answers are lost.
  bool down = false;
  std::uint32_t lose_answers = 0;

  work::append_answered Append(const work::append_records& effect);
  // Returns all items from a position on.
  work::feed_read Read(const work::read_feed& effect) const;
  bool HasNewRecords(const work::read_feed& effect) const;
  bool IsTrimmed(const work::read_feed& effect) const;
  work::newest_read Newest(const work::read_newest& effect) const;
  // Appends an item, as the operator or a worker does. An absent value deletes
  // the key.
  void Put(work::feed source,
           const std::string& key,
           std::optional<work::feed_value> value);
  // Compacts the logs: from then on reads from a position below the current end
  // fail as trimmed, and only the newest item of each key can be read.
  void Compact();

  // The store carries out appends one at a time, each in this time.
  work::duration append_time{0};
  // When the last append that was received will have been carried out.
  work::duration busy_until{0};
  // The most items that one read returns.
  std::size_t max_page_items = 1000000;

  const std::vector<work::feed_item>& records() const {
    return logs_.at(work::feed::kRecords).items;
  }

 private:
  struct feed_log {
    std::vector<work::feed_item> items;
    // Reads from a lower position fail as trimmed.
    std::uint64_t first_offset = 0;
  };
  std::map<work::feed, feed_log> logs_{{work::feed::kRecords, {}},
                                       {work::feed::kCatalog, {}},
                                       {work::feed::kWorkers, {}}};
  store_writers writers_;
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_SUPPORT_SIMULATED_STORE_H_
