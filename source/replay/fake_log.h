// The platform's log in memory: records of any kind at growing offsets, with
// limited retention.

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

  // The offset that the record got.
  std::uint64_t Append(Record record) {
    records.push_back(std::move(record));
    return EndOffset() - 1;
  }

  // Up to `most` records from `from`, or from the oldest one kept.
  std::vector<Record> Read(std::uint64_t from, std::size_t most) const {
    std::vector<Record> found;
    const std::uint64_t start = from < first_offset ? first_offset : from;
    for (std::uint64_t at = start; at < EndOffset() && found.size() < most;
         ++at)
      found.push_back(records[at - first_offset]);
    return found;
  }

  // Forgets all but the newest `kept` records.
  void Trim(std::size_t kept) {
    while (records.size() > kept) {
      records.pop_front();
      ++first_offset;
    }
  }
};

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_FAKE_LOG_H_
