// A keyed collection of immutable values. Entries are read, replaced whole or
// removed; the interface offers no way to change one in place.

#ifndef PARSLEYHITCH_MODEL_VALUE_TABLE_H_
#define PARSLEYHITCH_MODEL_VALUE_TABLE_H_

#include <cstddef>
#include <map>
#include <utility>

namespace parsleyhitch::model {

// Iteration is in key order, so that every entry that holds equal tables makes
// equal decisions. Lookup, Put and Erase cost O(log n).
template <typename Key, typename Value>
class value_table {
 public:
  using key_type = Key;
  using mapped_type = Value;

  // Null when the key is absent. The pointer lives until the entry is replaced.
  const Value* Find(const Key& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
  }

  bool Contains(const Key& key) const { return entries_.contains(key); }

  void Put(const Key& key, Value value) {
    const auto found = entries_.lower_bound(key);
    if (found == entries_.end() || found->first != key) {
      entries_.emplace_hint(found, key, std::move(value));
      return;
    }
    // The key is copied: the caller's reference may be into the old entry.
    Key kept = found->first;
    const auto next = entries_.erase(found);
    entries_.emplace_hint(next, std::move(kept), std::move(value));
  }

  void Erase(const Key& key) { entries_.erase(key); }

  // The entries from `key` on.
  auto From(const Key& key) const { return entries_.lower_bound(key); }

  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }
  auto begin() const { return entries_.begin(); }
  auto end() const { return entries_.end(); }

  bool operator==(const value_table&) const = default;

 private:
  std::map<Key, Value> entries_;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_VALUE_TABLE_H_
