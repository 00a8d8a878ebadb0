// Appends and reads as the platform's page describes them.

#include "support/stage_store.h"

#include "records/record_key.h"

namespace parsleyhitch::tests {

work::append_answered stage_store::Append(const work::append_records& effect) {
  const store_writers::verdict verdict =
      writers_.Take(effect.writer, effect.epoch, effect.sequence, [&] {
        for (const work::record& each : effect.records)
          Put(work::feed::kRecords, records::KeyOf(each), each);
        return logs_.at(work::feed::kRecords).items.size();
      });
  return {.call = effect.call, .outcome = verdict.outcome, .end = verdict.end};
}

bool stage_store::HasNews(const work::read_feed& effect) const {
  return logs_.at(effect.source).items.size() > effect.from;
}

bool stage_store::IsTrimmed(const work::read_feed& effect) const {
  return effect.from < logs_.at(effect.source).first;
}

work::feed_read stage_store::Read(const work::read_feed& effect) const {
  const log& from = logs_.at(effect.source);
  std::vector<work::feed_item> items;
  for (std::uint64_t at = effect.from; at < from.items.size(); ++at)
    items.push_back(from.items[at]);
  return {.call = effect.call,
          .source = effect.source,
          .next = effect.from + items.size(),
          .items = std::move(items)};
}

work::newest_read stage_store::Newest(const work::read_newest& effect) const {
  const log& from = logs_.at(effect.source);
  std::map<std::string, const work::feed_item*> newest;
  for (const work::feed_item& each : from.items)
    newest[each.key] = &each;
  std::vector<work::feed_item> items;
  for (const auto& [key, item] : newest) {
    if (item->value)
      items.push_back(*item);
  }
  return {.call = effect.call,
          .source = effect.source,
          .end = from.items.size(),
          .items = std::move(items)};
}

void stage_store::Put(work::feed source,
                      const std::string& key,
                      std::optional<work::feed_value> value) {
  log& to = logs_.at(source);
  to.items.push_back(
      {.offset = to.items.size(), .key = key, .value = std::move(value)});
}

void stage_store::Compact() {
  for (auto& [source, each] : logs_)
    each.first = each.items.size();
}

}  // namespace parsleyhitch::tests
