// Items are kept in one vector for each feed; an item's position is its index.

#include "support/simulated_store.h"

#include <algorithm>
#include <numeric>

#include "records/record_key.h"
#include "wire/work_codec.h"

namespace parsleyhitch::tests {

namespace {

// Reads are refused when more than this is waiting.
constexpr work::duration kMaxReadQueue{2000};
// The lengths of the record and of its key.
constexpr std::uint64_t kFramingBytes = 5;

std::string KindOf(const std::string& key) {
  return key.substr(0, key.find('/'));
}

std::uint64_t Total(
    const std::map<std::pair<work::feed, std::string>, std::uint64_t>& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), std::uint64_t{0},
      [](std::uint64_t sum, const auto& each) { return sum + each.second; });
}

std::uint64_t CountOf(
    const std::map<std::pair<work::feed, std::string>, std::uint64_t>& counts,
    work::feed source,
    const std::string& kind) {
  const auto found = counts.find({source, kind});
  return found == counts.end() ? 0 : found->second;
}

// True if another item of this size fits into the page. A page holds at least
// one.
bool FitsPage(std::uint64_t page_bytes,
              std::uint64_t item_bytes,
              std::uint64_t limit) {
  return limit == 0 || page_bytes == 0 || page_bytes + item_bytes <= limit;
}

bool EndsEvacuation(const work::feed_value& value) {
  const auto* evacuation = std::get_if<work::domain_evacuation>(&value);
  return evacuation != nullptr && !evacuation->active;
}

bool Exceeds(std::uint64_t size, std::uint64_t limit) {
  return limit != 0 && size > limit;
}

}  // namespace

work::append_answered simulated_store::Append(
    const work::append_records& effect) {
  if (ExceedsLimits(effect))
    return {.call = effect.call, .outcome = work::append_outcome::kRefused};
  const store_writers::append_result result = writers_[effect.target].TryAppend(
      effect.writer, effect.epoch, effect.sequence, [&] {
        for (const work::record& each : effect.records) {
          Put(effect.target, records::KeyOf(each),
              records::IsDeletion(each)
                  ? std::optional<work::feed_value>()
                  : std::optional<work::feed_value>(each));
        }
        return logs_.at(effect.target).items.size();
      });
  return {.call = effect.call, .outcome = result.outcome, .end = result.end};
}

bool simulated_store::HasNewRecords(const work::read_feed& effect) const {
  return logs_.at(effect.source).items.size() > effect.from;
}

bool simulated_store::IsTrimmed(const work::read_feed& effect) const {
  return effect.from < logs_.at(effect.source).first_offset;
}

work::feed_read simulated_store::Read(const work::read_feed& effect) const {
  const feed_log& source_log = logs_.at(effect.source);
  std::uint64_t next = effect.from;
  std::uint64_t bytes = 0;
  for (;
       next < source_log.items.size() && next - effect.from < max_page_items &&
       FitsPage(bytes, source_log.sizes[next], limits.page_bytes);
       ++next)
    bytes += source_log.sizes[next];
  std::vector<work::feed_item> items;
  items.reserve(next - effect.from);
  for (std::uint64_t at = effect.from; at < next; ++at)
    items.push_back(source_log.items[at]);
  return {.call = effect.call,
          .source = effect.source,
          .next = next,
          .items = std::move(items),
          .end = source_log.items.size()};
}

work::newest_read simulated_store::Newest(
    const work::read_newest& effect) const {
  const feed_log& source_log = logs_.at(effect.source);
  std::vector<work::feed_item> items;
  std::uint64_t bytes = 0;
  auto next = effect.after.empty()
                  ? source_log.newest.begin()
                  : source_log.newest.upper_bound(effect.after);
  for (; next != source_log.newest.end(); ++next) {
    const std::uint64_t size = source_log.sizes[next->second];
    const bool full = Exceeds(items.size() + 1, limits.newest_page_items) ||
                      !FitsPage(bytes, size, limits.page_bytes);
    if (full)
      break;
    items.push_back(source_log.items[next->second]);
    bytes += size;
  }
  const bool more = next != source_log.newest.end();
  std::string next_page_after = more ? items.back().key : std::string();
  return {.call = effect.call,
          .source = effect.source,
          .end = source_log.items.size(),
          .items = std::move(items),
          .next_page_after = std::move(next_page_after)};
}

void simulated_store::Put(work::feed source,
                          const std::string& key,
                          std::optional<work::feed_value> value) {
  feed_log& target = logs_.at(source);
  const std::uint64_t size = SizeOf(key, value);
  bytes_appended_[{source, KindOf(key)}] += size;
  const bool deleted = !value || EndsEvacuation(*value);
  if (deleted)
    target.newest.erase(key);
  else
    target.newest[key] = target.items.size();
  target.sizes.push_back(size);
  target.items.push_back({.offset = target.items.size(),
                          .key = key,
                          .value = std::move(value),
                          .deleted = deleted});
}

read_transfer simulated_store::Transfer(
    work::feed source,
    const std::vector<work::feed_item>& items,
    work::duration now,
    work::duration gives_up_at) {
  const std::chrono::microseconds starts_at =
      std::max(reads_until_, std::chrono::microseconds(now));
  const bool refused =
      limits.read_bytes_per_ms != 0 && starts_at - now > kMaxReadQueue;
  if (refused) {
    ++refused_reads_;
    return {.ends_at = now, .answered = false};
  }
  std::uint64_t bytes = 0;
  for (const work::feed_item& each : items) {
    const std::uint64_t size = logs_.at(source).sizes[each.offset];
    bytes += size;
    bytes_read_[{source, KindOf(each.key)}] += size;
  }
  if (limits.read_bytes_per_ms == 0)
    return {.ends_at = now, .bytes = bytes};
  reads_until_ = starts_at + std::chrono::microseconds(
                                 bytes * 1000 / limits.read_bytes_per_ms);
  if (starts_at > gives_up_at) {
    ++abandoned_reads_;
    return {.ends_at = gives_up_at, .answered = false, .bytes = bytes};
  }
  return {.ends_at = std::chrono::ceil<work::duration>(reads_until_),
          .bytes = bytes};
}

std::uint64_t simulated_store::SizeOf(
    const std::string& key,
    const std::optional<work::feed_value>& value) const {
  std::uint64_t size = kFramingBytes + key.size();
  if (!value)
    return size;
  if (const auto* record = std::get_if<work::record>(&*value))
    size += wire::EncodeRecord(*record).size();
  else if (std::holds_alternative<work::published_catalog>(*value))
    size += catalog_bytes;
  else
    size += worker_bytes;
  return size;
}

bool simulated_store::ExceedsLimits(const work::append_records& effect) const {
  if (limits.record_bytes == 0 && limits.call_bytes == 0)
    return false;
  std::uint64_t call_bytes = 0;
  for (const work::record& each : effect.records) {
    const std::uint64_t size = SizeOf(records::KeyOf(each), each);
    if (Exceeds(size, limits.record_bytes))
      return true;
    call_bytes += size;
  }
  return Exceeds(call_bytes, limits.call_bytes);
}

std::uint64_t simulated_store::bytes_read() const {
  return Total(bytes_read_);
}

std::uint64_t simulated_store::bytes_read(work::feed source,
                                          const std::string& kind) const {
  return CountOf(bytes_read_, source, kind);
}

std::uint64_t simulated_store::bytes_appended() const {
  return Total(bytes_appended_);
}

std::uint64_t simulated_store::bytes_appended(work::feed source,
                                              const std::string& kind) const {
  return CountOf(bytes_appended_, source, kind);
}

void simulated_store::Compact() {
  for (auto& [source, each] : logs_)
    each.first_offset = each.items.size();
}

}  // namespace parsleyhitch::tests
