#include "cranberryplank/model/time.h"

#include <ctime>

namespace cranberryplank {

Clock::time_point Clock::now() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

std::int64_t UnixMilliseconds() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(wall).count();
}

}  // namespace cranberryplank
