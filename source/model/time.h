// Types for points in time and durations, in milliseconds. The reducer takes
// the time from events and never reads a clock.

#ifndef PARSLEYHITCH_MODEL_TIME_H_
#define PARSLEYHITCH_MODEL_TIME_H_

#include <chrono>

namespace parsleyhitch::model {

using duration = std::chrono::milliseconds;
using timestamp = std::chrono::sys_time<duration>;

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_TIME_H_
