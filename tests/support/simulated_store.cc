// Items are kept in one vector for each feed; an item's position is its index.

#include "support/simulated_store.h"

#include "records/record_key.h"

namespace parsleyhitch::tests {

work::append_answered simulated_store::Append(
    const work::append_records& effect) {
  const store_writers::append_result result =
      writers_.TryAppend(effect.writer, effect.epoch, effect.sequence, [&] {
        for (const work::record& each : effect.records)
          Put(work::feed::kRecords, records::KeyOf(each), each);
        return logs_.at(work::feed::kRecords).items.size();
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
  std::vector<work::feed_item> items;
  for (std::uint64_t at = effect.from;
       at < source_log.items.size() && items.size() < max_page_items; ++at)
    items.push_back(source_log.items[at]);
  return {.call = effect.call,
          .source = effect.source,
          .next = effect.from + items.size(),
          .items = std::move(items),
          .end = source_log.items.size()};
}

work::newest_read simulated_store::Newest(
    const work::read_newest& effect) const {
  const feed_log& source_log = logs_.at(effect.source);
  std::map<std::string, const work::feed_item*> newest;
  for (const work::feed_item& each : source_log.items)
    newest[each.key] = &each;
  std::vector<work::feed_item> items;
  for (const auto& [key, item] : newest) {
    if (item->value)
      items.push_back(*item);
  }
  return {.call = effect.call,
          .source = effect.source,
          .end = source_log.items.size(),
          .items = std::move(items)};
}

void simulated_store::Put(work::feed source,
                          const std::string& key,
                          std::optional<work::feed_value> value) {
  feed_log& target = logs_.at(source);
  target.items.push_back(
      {.offset = target.items.size(), .key = key, .value = std::move(value)});
}

void simulated_store::Compact() {
  for (auto& [source, each] : logs_)
    each.first_offset = each.items.size();
}

}  // namespace parsleyhitch::tests
