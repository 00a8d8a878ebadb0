// An in-memory model of the platform's store: one keyed log for each feed,
// writers that are fenced by epoch and sequence, a bandwidth that all reads
// share, and faults that a test injects.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_SIMULATED_STORE_H_
#define PARSLEYHITCH_TESTS_SUPPORT_SIMULATED_STORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/store_writers.h"
#include "work/effect.h"

namespace parsleyhitch::tests {

// Limits of the store; 0 stands for none.
struct store_limits {
  // All reads together.
  std::uint64_t read_bytes_per_ms = 0;
  // The answer to one read. It holds at least one item.
  std::uint64_t page_bytes = 0;
  std::uint64_t newest_page_items = 0;
  // Appends beyond these are refused.
  std::uint64_t record_bytes = 0;
  std::uint64_t call_bytes = 0;

  bool operator==(const store_limits&) const = default;
};

// When a read ends, whether its reader gets the answer, and how many bytes were
// transferred.
struct read_transfer {
  const work::duration ends_at{0};
  const bool answered = true;
  const std::uint64_t bytes = 0;

  bool operator==(const read_transfer&) const = default;
};

class simulated_store {
 public:
  // Faults. `lose_answers` is the number of appends that are stored but whose
  // answers are lost.
  bool down = false;
  std::uint32_t lose_answers = 0;
  // Appends to these streams are refused.
  std::set<work::feed> refused;

  store_limits limits;

  work::append_answered Append(const work::append_records& effect);
  // Returns the items of one page from a position on.
  work::feed_read Read(const work::read_feed& effect) const;
  bool HasNewRecords(const work::read_feed& effect) const;
  bool IsTrimmed(const work::read_feed& effect) const;
  work::newest_read Newest(const work::read_newest& effect) const;
  // Transfers an answer after those before it. It is refused when more than 2 s
  // of them is waiting. A reader gives up at `gives_up_at` if no byte has
  // arrived; the answer is transferred all the same.
  read_transfer Transfer(work::feed source,
                         const std::vector<work::feed_item>& items,
                         work::duration now,
                         work::duration gives_up_at);
  // Appends an item, as the operator or a worker does. An absent value deletes
  // the key, and so does that of an evacuation's end.
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
  // Sizes of the values that the operator and the workers write.
  std::uint64_t catalog_bytes = 4096;
  std::uint64_t worker_bytes = 256;

  const std::vector<work::feed_item>& records() const {
    return logs_.at(work::feed::kRecords).items;
  }

  // Bytes of all feeds, and those of one feed under keys of the form KIND or
  // KIND/NAME. Bytes read include those whose reader gave up.
  std::uint64_t bytes_read() const;
  std::uint64_t bytes_read(work::feed source, const std::string& kind) const;
  std::uint64_t bytes_appended() const;
  std::uint64_t bytes_appended(work::feed source,
                               const std::string& kind) const;
  std::uint64_t refused_reads() const { return refused_reads_; }
  // Reads whose reader gave up.
  std::uint64_t abandoned_reads() const { return abandoned_reads_; }

 private:
  using byte_counts =
      std::map<std::pair<work::feed, std::string>, std::uint64_t>;
  struct feed_log {
    // The sizes of the items are kept under the same indexes, and the positions
    // of the newest items under their keys.
    std::vector<work::feed_item> items;
    std::vector<std::uint64_t> sizes;
    std::map<std::string, std::uint64_t> newest;
    // Reads from a lower position fail as trimmed.
    std::uint64_t first_offset = 0;
  };

  std::uint64_t SizeOf(const std::string& key,
                       const std::optional<work::feed_value>& value) const;
  bool ExceedsLimits(const work::append_records& effect) const;

  std::map<work::feed, feed_log> logs_{{work::feed::kRecords, {}},
                                       {work::feed::kCatalog, {}},
                                       {work::feed::kWorkers, {}},
                                       {work::feed::kUnits, {}}};
  // Each stream fences writers by itself.
  std::map<work::feed, store_writers> writers_;
  // When all answers so far will have been transferred.
  std::chrono::microseconds reads_until_{0};
  byte_counts bytes_read_;
  byte_counts bytes_appended_;
  std::uint64_t refused_reads_ = 0;
  std::uint64_t abandoned_reads_ = 0;
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_SUPPORT_SIMULATED_STORE_H_
