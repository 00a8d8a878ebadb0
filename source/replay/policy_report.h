// Measures of the placement and request policies, and comparisons of the
// product with the baseline.

#ifndef PARSLEYHITCH_REPLAY_POLICY_REPORT_H_
#define PARSLEYHITCH_REPLAY_POLICY_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "replay/scenario.h"
#include "replay/simulation.h"
#include "report/burn.h"

namespace parsleyhitch::replay {

// Measures by name; the name includes the unit.
using policy_measures = std::map<std::string, double>;

policy_measures Measure(const scenario& scenario, const run_result& result);

// Completed requests of the run, as input for the service-level burn.
std::vector<report::observation> Observations(const scenario& scenario,
                                              const run_result& result);

// Measures of one trace under both policies.
struct policy_comparison {
  const std::string trace;
  const std::string workload;
  const policy_measures product;
  const policy_measures baseline;
};

policy_comparison Compare(const std::string& trace, const scenario& scenario);

// A text table with one row per measure.
std::string ComparisonTable(const policy_comparison& comparison);

// A text table with the median, minimum and maximum of each measure over the
// traces of a workload.
std::string SpreadTable(const std::vector<policy_comparison>& comparisons);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_POLICY_REPORT_H_
