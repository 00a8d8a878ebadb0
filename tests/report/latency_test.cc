// Tests of latency histograms.

#include "report/latency.h"

#include <criterion/criterion.h>

namespace model = parsleyhitch::model;

namespace {

struct latency_fixture {
  parsleyhitch::report::latency_histogram histogram;

  latency_fixture() {
    for (int i = 1; i <= 1000; ++i)
      histogram.Add(model::duration(i));
  }
};

}  // namespace

Test(latency, quantile_of_a_uniform_distribution_is_within_a_bucket) {
  const latency_fixture fixture;
  const auto p99 = fixture.histogram.Quantile(990);
  cr_assert_geq(p99.count(), 990);
  cr_assert_leq(p99.count(), 1100);
}

Test(latency, quantile_of_an_empty_histogram_is_zero) {
  const parsleyhitch::report::latency_histogram empty;
  cr_assert_eq(empty.Quantile(500).count(), 0);
}
