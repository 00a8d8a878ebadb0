// One immutable value that may be absent and is replaced whole.

#ifndef PARSLEYHITCH_MODEL_VALUE_CELL_H_
#define PARSLEYHITCH_MODEL_VALUE_CELL_H_

#include <optional>
#include <utility>

namespace parsleyhitch::model {

// Lets a state move even where its value, having constant members, can't be
// assigned to.
template <typename Value>
class value_cell {
 public:
  value_cell() = default;
  explicit value_cell(Value value) : value_(std::move(value)) {}
  value_cell(const value_cell&) = default;
  value_cell(value_cell&&) noexcept = default;
  ~value_cell() = default;

  value_cell& operator=(const value_cell& other) {
    if (this != &other)
      Replace(other.value_);
    return *this;
  }
  value_cell& operator=(value_cell&& other) noexcept {
    if (this != &other)
      Replace(std::move(other.value_));
    return *this;
  }

  // Null when absent.
  const Value* Get() const { return value_ ? &*value_ : nullptr; }

  void Put(Value value) { value_.emplace(std::move(value)); }
  void Clear() { value_.reset(); }

  bool operator==(const value_cell&) const = default;

 private:
  template <typename Optional>
  void Replace(Optional&& other) {
    value_.reset();
    if (other)
      value_.emplace(*std::forward<Optional>(other));
  }

  std::optional<Value> value_;
};

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_VALUE_CELL_H_
