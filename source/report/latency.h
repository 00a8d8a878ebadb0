// Histogram of latencies with logarithmic buckets.

#ifndef PARSLEYHITCH_REPORT_LATENCY_H_
#define PARSLEYHITCH_REPORT_LATENCY_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>

#include "model/time.h"

namespace parsleyhitch::report {

namespace detail {

using log_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using counts = boost::histogram::histogram<std::tuple<log_axis>>;

}  // namespace detail

// Counts durations from 1 ms to 28 h. Each bucket is at most a tenth wider than
// the one before.
class latency_histogram {
 public:
  latency_histogram();

  void Add(model::duration value);

  std::uint64_t count() const { return count_; }
  model::duration sum() const { return sum_; }

  // The duration at or below which `permille` of the values lie, rounded up to
  // the upper edge of its bucket; zero if there are no values.
  model::duration Quantile(std::uint32_t permille) const;

  // Number of values of at most `bound`, to the precision of the buckets.
  std::uint64_t CountUpTo(model::duration bound) const;

 private:
  detail::counts counts_;
  std::uint64_t count_ = 0;
  model::duration sum_{0};
};

}  // namespace parsleyhitch::report

#endif  // PARSLEYHITCH_REPORT_LATENCY_H_
