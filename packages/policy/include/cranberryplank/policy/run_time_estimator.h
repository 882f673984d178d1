#ifndef CRANBERRYPLANK_POLICY_RUN_TIME_ESTIMATOR_H_
#define CRANBERRYPLANK_POLICY_RUN_TIME_ESTIMATOR_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Expected run time of a request.
struct RunTimeEstimate {
  Duration mean{0};
  Duration high{0};       ///< Upper estimate, rarely exceeded.
  bool measured = false;  ///< Based on completed runs instead of the declared value.
};

/// Estimates run times per team and queue from completed runs. Declared run times are off by a
/// factor of ten, so they are used only until enough runs have completed.
class RunTimeEstimator {
 public:
  /// Records a completed run. Failed runs must not be recorded, because a worker that fails fast
  /// would lower the estimate.
  void Record(std::string_view team, std::string_view queue, Duration run_time);

  /// Returns the estimate for the team on the queue, or else for the queue, or else `declared`.
  RunTimeEstimate Estimate(std::string_view team, std::string_view queue, Duration declared) const;

 private:
  struct RunTimeStatistics {
    int runs = 0;
    double mean_ms = 0;
    double deviation_ms = 0;
  };

  static void Add(Duration run_time, RunTimeStatistics* statistics);

  std::map<std::pair<std::string, std::string>, RunTimeStatistics> m_by_team;  // By queue and team.
  std::map<std::string, RunTimeStatistics, std::less<>> m_by_queue;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_RUN_TIME_ESTIMATOR_H_
