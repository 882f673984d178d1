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
  Duration high{0};       ///< Few runs take longer.
  bool measured = false;  ///< From completed runs, not the declared value.
};

/// Learns run times per team and queue from completed runs. Declared sizes are not trusted, since
/// they are off by a factor of ten; they serve only until enough runs have completed.
class RunTimeEstimator {
 public:
  /// Takes in a completed run. Failed runs are not recorded: a worker that fails fast must not
  /// make requests look short.
  void Record(std::string_view team, std::string_view queue, Duration run_time);

  /// Returns the estimate of the team on the queue, else of the queue, else `declared`.
  RunTimeEstimate Estimate(std::string_view team, std::string_view queue, Duration declared) const;

 private:
  struct RunTimeStatistics {
    int runs = 0;
    double mean_ms = 0;
    double deviation_ms = 0;
  };

  static void Add(Duration run_time, RunTimeStatistics* statistics);

  std::map<std::pair<std::string, std::string>, RunTimeStatistics> m_by_team;  // Queue and team.
  std::map<std::string, RunTimeStatistics, std::less<>> m_by_queue;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_RUN_TIME_ESTIMATOR_H_
