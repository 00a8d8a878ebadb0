// Names used in log lines and metrics.

#ifndef PARSLEYHITCH_DISPATCH_NAMES_H_
#define PARSLEYHITCH_DISPATCH_NAMES_H_

#include <string>

#include "work/event.h"
#include "work/job.h"

namespace parsleyhitch::dispatch {

// The job's ID, then occurrence, step and index, separated by dots.
std::string NameOf(const work::unit_id& unit);
std::string NameOf(const work::task_id& task);

std::string NameOf(work::job_phase phase);
std::string NameOf(work::run_end_kind how);
std::string NameOf(work::order_outcome outcome);
std::string NameOf(work::call_verb verb);
std::string NameOf(work::answer_kind kind);
std::string NameOf(work::feed source);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_NAMES_H_
