// Keys whose value changed and is still to be stored, oldest change first.

#ifndef PARSLEYHITCH_DISPATCH_CHANGE_QUEUE_H_
#define PARSLEYHITCH_DISPATCH_CHANGE_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace parsleyhitch::dispatch {

// Invariant: both members hold the same pairs of a key and its oldest change.
template <typename Key>
class change_queue {
 public:
  // A key that is queued already keeps the older of the two changes.
  void Add(const Key& key, std::uint64_t change) {
    const auto [found, added] = changes_.emplace(key, change);
    if (!added) {
      if (found->second <= change)
        return;
      order_.erase({found->second, key});
      found->second = change;
    }
    order_.emplace(change, key);
  }

  // The change and the key that were queued first; the queue must not be empty.
  std::pair<std::uint64_t, Key> TakeOldest() {
    std::pair<std::uint64_t, Key> oldest = *order_.begin();
    order_.erase(order_.begin());
    changes_.erase(oldest.second);
    return oldest;
  }

  std::optional<std::uint64_t> OldestChange() const {
    return order_.empty() ? std::optional<std::uint64_t>()
                          : order_.begin()->first;
  }

  // The oldest change of the keys from `first` on for which `matches` holds; it
  // must hold for none behind the first for which it does not.
  template <typename Matches>
  std::optional<std::uint64_t> OldestChangeOf(const Key& first,
                                              Matches matches) const {
    std::optional<std::uint64_t> oldest;
    for (auto at = changes_.lower_bound(first);
         at != changes_.end() && matches(at->first); ++at)
      oldest = std::min(oldest.value_or(at->second), at->second);
    return oldest;
  }

  std::size_t size() const { return order_.size(); }
  bool empty() const { return order_.empty(); }

  bool operator==(const change_queue&) const = default;

 private:
  std::set<std::pair<std::uint64_t, Key>> order_;
  std::map<Key, std::uint64_t> changes_;
};

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_CHANGE_QUEUE_H_
