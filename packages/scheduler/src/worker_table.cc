#include "cranberryplank/scheduler/worker_table.h"

#include <algorithm>

namespace cranberryplank {

namespace {

/// Workers' steady clocks may run 2% slow; 3% leaves room for rounding.
constexpr double kSlowClockFactor = 1.03;
constexpr Duration kClockMargin{60};
/// Total rate of lease renewals of all idle workers.
constexpr double kIdleRenewalsPerSecond = 300;

}  // namespace

Duration IdleRenewalPause(std::size_t workers, Duration renewal_wait) {
  constexpr double kMillisecondsPerSecond = 1'000;
  const auto interval = static_cast<Duration::rep>(static_cast<double>(workers) *
                                                   kMillisecondsPerSecond / kIdleRenewalsPerSecond);
  return std::max(Duration(interval) - renewal_wait, Duration(0));
}

std::int64_t EstimateClockMs(const ClockSample& sample, TimePoint now) {
  return sample.clock_ms + std::chrono::duration_cast<Duration>(now - sample.at).count();
}

Duration MaxLocalDuration(Duration worker_time) {
  const auto slow = static_cast<double>(worker_time.count()) * kSlowClockFactor;
  return Duration(static_cast<Duration::rep>(slow));
}

TimePoint LatestLocalTime(const ClockSample& sample, std::int64_t worker_ms) {
  const Duration ahead{std::max<std::int64_t>(worker_ms - sample.clock_ms, 0)};
  return sample.at + MaxLocalDuration(ahead) + kClockMargin;
}

RunRange Worker::RunsOfStep(const TaskRef& step) const {
  return {runs.lower_bound({step.job, step.occurrence, step.step, 0}),
          runs.lower_bound({step.job, step.occurrence, step.step + 1, 0})};
}

}  // namespace cranberryplank
