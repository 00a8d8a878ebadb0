// The burn report as a self-contained HTML page.

#ifndef PARSLEYHITCH_REPORT_BURN_PAGE_H_
#define PARSLEYHITCH_REPORT_BURN_PAGE_H_

#include <string>
#include <vector>

#include "report/burn.h"

namespace parsleyhitch::report {

// HTML with a summary table and, for each objective, a plot over time of all
// requests and of those that missed the objective. Styles and plots are inline.
std::string BurnPage(const std::string& title,
                     const std::vector<model::objective>& objectives,
                     const std::vector<observation>& observations);

}  // namespace parsleyhitch::report

#endif  // PARSLEYHITCH_REPORT_BURN_PAGE_H_
