// Tests of the exposition of metrics.

#include "report/metrics.h"

#include <criterion/criterion.h>

namespace report = parsleyhitch::report;
namespace work = parsleyhitch::work;

namespace {

struct metrics_fixture {
  report::metrics metrics;

  template <typename Effect>
  void Add(const Effect& effect) {
    metrics = report::Add(std::move(metrics), effect);
  }

  bool Exposes(const std::string& lines) const {
    return report::Exposition(metrics).find(lines) != std::string::npos;
  }
};

}  // namespace

Test(gauge, set_twice_exposes_the_latest_value) {
  metrics_fixture fixture;
  fixture.Add(work::set_gauge{.name = "load_jobs", .value = 7});
  fixture.Add(work::set_gauge{.name = "load_jobs", .value = 3});
  cr_assert(
      fixture.Exposes("# TYPE parsleyhitch_load_jobs gauge\n"
                      "parsleyhitch_load_jobs 3\n"));
}

Test(counter, counted_twice_exposes_the_sum) {
  metrics_fixture fixture;
  fixture.Add(work::count_metric{.name = "store_read_records_bytes_read",
                                 .increment = 40});
  fixture.Add(work::count_metric{.name = "store_read_records_bytes_read",
                                 .increment = 2});
  cr_assert(fixture.Exposes(
      "# TYPE parsleyhitch_store_read_records_bytes_read_total counter\n"
      "parsleyhitch_store_read_records_bytes_read_total 42\n"));
}
