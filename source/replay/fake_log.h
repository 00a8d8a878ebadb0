// In-memory stand-in for the platform's log: records of any type at increasing
// offsets, with limited retention.

#ifndef PARSLEYHITCH_REPLAY_FAKE_LOG_H_
#define PARSLEYHITCH_REPLAY_FAKE_LOG_H_

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace parsleyhitch::replay {

template <typename Record>
struct fake_log {
  std::uint64_t first_offset = 0;
  std::deque<Record> records;

  std::uint64_t EndOffset() const { return first_offset + records.size(); }

  // Returns the offset of the new record.
  std::uint64_t Append(Record record) {
    records.push_back(std::move(record));
    return EndOffset() - 1;
  }

  // Returns up to `limit` records starting at `from`, or at the oldest retained
  // record if `from` was trimmed.
  std::vector<Record> Read(std::uint64_t from, std::size_t limit) const {
    std::vector<Record> found;
    const std::uint64_t start = from < first_offset ? first_offset : from;
    for (std::uint64_t at = start; at < EndOffset() && found.size() < limit;
         ++at)
      found.push_back(records[at - first_offset]);
    return found;
  }

  // Removes all but the newest `kept` records.
  void Trim(std::size_t kept) {
    while (records.size() > kept) {
      records.pop_front();
      ++first_offset;
    }
  }
};

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_FAKE_LOG_H_
