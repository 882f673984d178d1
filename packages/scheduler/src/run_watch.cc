#include "cranberryplank/scheduler/run_watch.h"

#include <algorithm>

namespace cranberryplank {

namespace {

/// Lists arrive about once a second or more often, so shorter stalls can not be detected.
constexpr Duration kStallTimeout{2'300};
/// Time needed for a stop and a new start.
constexpr Duration kRestartCost{900};
/// Estimates are rough, so a new run must be expected to end much sooner.
constexpr double kWorthwhileFactor = 2.0;
constexpr double kHighTailRatio = 0.75;
constexpr double kLowTailRatio = 0.5;
constexpr int kFullSpeedPercent = 100;
constexpr int kSpeedStepPercent = 20;

}  // namespace

bool IsStraggler(const RunProgress& progress) {
  if (progress.elapsed < progress.estimate + kRestartCost) {
    return false;
  }
  if (progress.since_progress >= std::max(kStallTimeout, progress.estimate)) {
    return true;
  }
  if (progress.percent <= 0) {
    return false;
  }
  const auto elapsed = static_cast<double>(progress.elapsed.count());
  const double left = elapsed * (100.0 - progress.percent) / progress.percent;
  const auto restart = static_cast<double>((progress.estimate + kRestartCost).count());
  return left > restart * kWorthwhileFactor;
}

int NextBestEffortSpeed(double worst_tail_ratio, int speed_percent) {
  if (worst_tail_ratio >= kHighTailRatio) {
    return 0;
  }
  if (worst_tail_ratio <= kLowTailRatio) {
    return std::min(kFullSpeedPercent, std::max(speed_percent, 0) + kSpeedStepPercent);
  }
  return std::max(speed_percent, 0);
}

}  // namespace cranberryplank
