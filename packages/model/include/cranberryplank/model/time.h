#ifndef CRANBERRYPLANK_MODEL_TIME_H_
#define CRANBERRYPLANK_MODEL_TIME_H_

#include <chrono>

namespace cranberryplank {

/// Monotonic clock of this process. Values of different processes cannot be compared.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = std::chrono::milliseconds;

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_TIME_H_
