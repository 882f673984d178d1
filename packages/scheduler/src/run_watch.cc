#include "cranberryplank/scheduler/run_watch.h"

#include <algorithm>

namespace cranberryplank {

namespace {

/// A list comes at least about once a second, so that shorter standstills can not be seen.
constexpr Duration kStandstill{2'300};
/// Time that a stop and a new start take.
constexpr Duration kRestartCost{900};
/// Estimates are rough: a new start must be expected to end much sooner.
constexpr double kWorthwhileFactor = 2.0;
constexpr double kHighTail = 0.75;
constexpr double kLowTail = 0.5;
constexpr int kFullPace = 100;
constexpr int kPaceStep = 20;

}  // namespace

bool IsCrawling(const RunProgress& progress) {
  if (progress.elapsed < progress.estimate + kRestartCost) {
    return false;
  }
  if (progress.since_progress >= std::max(kStandstill, progress.estimate)) {
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

int NextFillerPace(double worst_tail_part, int pace) {
  if (worst_tail_part >= kHighTail) {
    return 0;
  }
  if (worst_tail_part <= kLowTail) {
    return std::min(kFullPace, std::max(pace, 0) + kPaceStep);
  }
  return std::max(pace, 0);
}

}  // namespace cranberryplank
