// What the estimates of a job's steps say about its objective.

#ifndef PARSLEYHITCH_POLICY_OBJECTIVE_H_
#define PARSLEYHITCH_POLICY_OBJECTIVE_H_

#include <vector>

#include "work/job.h"

namespace parsleyhitch::policy {

using work::duration;

// When each step can start at the earliest after the job's submission.
std::vector<duration> EarliestStarts(const std::vector<work::step_spec>& steps);

// The shortest time in which all steps can end.
duration CriticalPath(const std::vector<work::step_spec>& steps);

// The time that the objective leaves beyond the critical path.
duration ObjectiveSlack(const work::submission& content);

}  // namespace parsleyhitch::policy

#endif  // PARSLEYHITCH_POLICY_OBJECTIVE_H_
