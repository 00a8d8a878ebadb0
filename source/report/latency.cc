// Buckets of equal ratio, from kLowestMs to kHighestMs milliseconds.

#include "report/latency.h"

#include <algorithm>
#include <cmath>

namespace parsleyhitch::report {

namespace {

constexpr unsigned kBuckets = 200;
constexpr double kLowestMs = 1.0;
constexpr double kHighestMs = 1.0e8;
constexpr std::uint64_t kPermille = 1000;

}  // namespace

latency_histogram::latency_histogram()
    : counts_(boost::histogram::make_histogram(
          detail::log_axis(kBuckets, kLowestMs, kHighestMs))) {}

void latency_histogram::Add(model::duration value) {
  counts_(static_cast<double>(std::max<std::int64_t>(1, value.count())));
  ++count_;
  sum_ += value;
}

model::duration latency_histogram::Quantile(std::uint32_t permille) const {
  if (count_ == 0)
    return model::duration::zero();
  const std::uint64_t rank = (count_ * permille + kPermille - 1) / kPermille;
  std::uint64_t cumulative = 0;
  for (int i = 0; i < static_cast<int>(kBuckets); ++i) {
    cumulative += static_cast<std::uint64_t>(counts_.at(i));
    if (cumulative >= rank)
      return model::duration(std::llround(counts_.axis().bin(i).upper()));
  }
  return model::duration(static_cast<std::int64_t>(kHighestMs));
}

std::uint64_t latency_histogram::CountUpTo(model::duration bound) const {
  std::uint64_t cumulative = 0;
  for (int i = 0; i < static_cast<int>(kBuckets); ++i) {
    if (counts_.axis().bin(i).lower() > static_cast<double>(bound.count()))
      break;
    cumulative += static_cast<std::uint64_t>(counts_.at(i));
  }
  return cumulative;
}

}  // namespace parsleyhitch::report
