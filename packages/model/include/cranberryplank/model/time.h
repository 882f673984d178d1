#ifndef CRANBERRYPLANK_MODEL_TIME_H_
#define CRANBERRYPLANK_MODEL_TIME_H_

#include <chrono>
#include <cstdint>

namespace cranberryplank {

/// Monotonic clock of this process that also counts the time during which the VM was suspended
/// (CLOCK_BOOTTIME), because leases and claims of other processes continue meanwhile. Values of
/// different processes cannot be compared.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now() noexcept;
};

using TimePoint = Clock::time_point;
using Duration = std::chrono::milliseconds;

/// Returns the wall-clock time in milliseconds since the Unix epoch. It may jump.
std::int64_t UnixMilliseconds();

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_TIME_H_
