// An optional immutable value, which can be replaced but not changed in place.

#ifndef PARSLEYHITCH_MODEL_VALUE_CELL_H_
#define PARSLEYHITCH_MODEL_VALUE_CELL_H_

#include <memory>
#include <utility>

namespace parsleyhitch::model {

// Copies share the value, so a state that holds one copies and moves it at the
// cost of a pointer. Comparison is by value.
template <typename Value>
class value_cell {
 public:
  value_cell() = default;

  // Null if absent.
  const Value* Get() const { return value_.get(); }

  void Put(Value value) {
    value_ = std::make_shared<const Value>(std::move(value));
  }
  void Clear() { value_.reset(); }

  bool operator==(const value_cell& other) const {
    if (value_ == nullptr || other.value_ == nullptr)
      return value_ == other.value_;
    return *value_ == *other.value_;
  }

 private:
  std::shared_ptr<const Value> value_;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_VALUE_CELL_H_
