#include "cranberryplank/policy/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace cranberryplank {

namespace {

// With fewer runs, the statistics of the whole queue or the declared value are used.
constexpr int kMinRuns = 5;
// Minimum weight of a new run. About two thirds of a change are absorbed after 16 runs.
constexpr double kGain = 1.0 / 16;
// The upper estimate is the mean plus four mean deviations, as in TCP retransmission timers
// (RFC 6298).
constexpr double kDeviations = 4;

}  // namespace

void RunTimeEstimator::Add(Duration run_time, RunTimeStatistics* statistics) {
  const auto sample = static_cast<double>(run_time.count());
  ++statistics->runs;
  const double gain = std::max(kGain, 1.0 / statistics->runs);
  const double error = sample - statistics->mean_ms;
  statistics->deviation_ms += gain * (std::abs(error) - statistics->deviation_ms);
  statistics->mean_ms += gain * error;
}

void RunTimeEstimator::Record(std::string_view team, std::string_view queue, Duration run_time) {
  Add(run_time, &m_by_team[{std::string(queue), std::string(team)}]);
  Add(run_time, &m_by_queue[std::string(queue)]);
}

RunTimeEstimate RunTimeEstimator::Estimate(std::string_view team, std::string_view queue,
                                           Duration declared) const {
  const RunTimeStatistics* statistics = nullptr;
  const auto by_team = m_by_team.find({std::string(queue), std::string(team)});
  if (by_team != m_by_team.end() && by_team->second.runs >= kMinRuns) {
    statistics = &by_team->second;
  } else if (const auto by_queue = m_by_queue.find(queue);
             by_queue != m_by_queue.end() && by_queue->second.runs >= kMinRuns) {
    statistics = &by_queue->second;
  }
  if (statistics == nullptr) {
    return RunTimeEstimate{declared, declared, false};
  }
  return RunTimeEstimate{
      Duration(std::llround(statistics->mean_ms)),
      Duration(std::llround(statistics->mean_ms + kDeviations * statistics->deviation_ms)), true};
}

}  // namespace cranberryplank
