// What a run says of the placement and request policy, and two policies side by
// side.

#ifndef PARSLEYHITCH_REPLAY_POLICY_REPORT_H_
#define PARSLEYHITCH_REPLAY_POLICY_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "replay/scenario.h"
#include "replay/stage.h"
#include "report/burn.h"

namespace parsleyhitch::replay {

// Measures by name, each with its unit in the name.
using policy_measures = std::map<std::string, double>;

policy_measures Measure(const scenario& scenario, const run_result& result);

// The ends of the run's requests, for the service-level burn.
std::vector<report::observation> Observations(const scenario& scenario,
                                              const run_result& result);

// One trace under both policies.
struct policy_comparison {
  const std::string trace;
  const std::string workload;
  const policy_measures product;
  const policy_measures baseline;
};

policy_comparison Compare(const std::string& trace, const scenario& scenario);

// A row for each measure.
std::string ComparisonTable(const policy_comparison& comparison);

// For each workload and measure: the least, middle and greatest over its
// traces.
std::string SpreadTable(const std::vector<policy_comparison>& comparisons);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_POLICY_REPORT_H_
