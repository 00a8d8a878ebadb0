// Appends and reads as the platform's page describes them.

#include "support/stage_store.h"

#include "records/record_key.h"

namespace parsleyhitch::tests {

work::append_answered stage_store::Append(const work::append_records& effect) {
  writer& from = writers_[effect.writer];
  const auto answer = [&](work::append_outcome outcome, std::uint64_t end) {
    return work::append_answered{
        .call = effect.call, .outcome = outcome, .end = end};
  };
  if (effect.epoch < from.epoch)
    return answer(work::append_outcome::kFenced, 0);
  if (effect.epoch == from.epoch && from.answers.contains(effect.sequence)) {
    return answer(work::append_outcome::kStored,
                  from.answers.at(effect.sequence));
  }
  if (effect.epoch == from.epoch && effect.sequence != from.next)
    return answer(work::append_outcome::kOutOfSequence, 0);
  if (effect.epoch > from.epoch) {
    from.epoch = effect.epoch;
    from.answers.clear();
  }
  for (const work::record& each : effect.records)
    Put(work::feed::kRecords, records::KeyOf(each), each);
  from.next = effect.sequence + 1;
  const std::uint64_t end = logs_.at(work::feed::kRecords).items.size();
  from.answers[effect.sequence] = end;
  return answer(work::append_outcome::kStored, end);
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
