// Resource amounts: the needs of a task and the capacity of a worker.

#ifndef PARSLEYHITCH_WORK_RESOURCES_H_
#define PARSLEYHITCH_WORK_RESOURCES_H_

#include <compare>
#include <cstdint>

namespace parsleyhitch::work {

// Amounts may be negative: the free capacity of a worker that other writers
// overcommitted is below zero.
struct resources {
  // Thousandths of a CPU core.
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  auto operator<=>(const resources&) const = default;
};

inline resources operator+(const resources& a, const resources& b) {
  return {.cpu_millis = a.cpu_millis + b.cpu_millis,
          .memory_mb = a.memory_mb + b.memory_mb,
          .accelerators = a.accelerators + b.accelerators};
}

inline resources operator-(const resources& a, const resources& b) {
  return {.cpu_millis = a.cpu_millis - b.cpu_millis,
          .memory_mb = a.memory_mb - b.memory_mb,
          .accelerators = a.accelerators - b.accelerators};
}

// What so many tasks need together.
inline resources operator*(const resources& each, std::uint32_t count) {
  return {.cpu_millis = each.cpu_millis * count,
          .memory_mb = each.memory_mb * count,
          .accelerators = each.accelerators * count};
}

// True when `need` fits in the free capacity `rest`.
inline bool Fits(const resources& need, const resources& rest) {
  return need.cpu_millis <= rest.cpu_millis &&
         need.memory_mb <= rest.memory_mb &&
         need.accelerators <= rest.accelerators;
}

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_RESOURCES_H_
