// An ordered map of immutable values, which can be read, replaced and removed,
// but not changed in place.

#ifndef PARSLEYHITCH_MODEL_VALUE_TABLE_H_
#define PARSLEYHITCH_MODEL_VALUE_TABLE_H_

#include <cstddef>
#include <map>
#include <utility>

namespace parsleyhitch::model {

// Iteration is in key order, so that scheduler processes with equal tables make
// equal decisions. Find, Put and Erase take O(log n).
template <typename Key, typename Value>
class value_table {
 public:
  using key_type = Key;
  using mapped_type = Value;

  // Null if the key is absent. The pointer is valid until the key's value is
  // replaced or erased.
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
    // `key` may refer into the node that is erased, so it is copied first.
    Key key_copy = found->first;
    const auto next = entries_.erase(found);
    entries_.emplace_hint(next, std::move(key_copy), std::move(value));
  }

  void Erase(const Key& key) { entries_.erase(key); }

  // Iterator to the first item whose key is not less than `key`.
  auto LowerBound(const Key& key) const { return entries_.lower_bound(key); }

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
