#ifndef CRANBERRYPLANK_BENCH_POLICY_DEPLOYMENT_H_
#define CRANBERRYPLANK_BENCH_POLICY_DEPLOYMENT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/fleet.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank::bench {

/// Load parameters of one queue.
struct QueueShape {
  std::string queue;
  std::string pool;
  double run_seconds = 1;    ///< Mean run time.
  double wait_seconds = 10;  ///< Longest wait that callers accept.
};

/// Fraction of every queue's requests that a team sends.
struct TeamShape {
  std::string team;
  double traffic = 0;
};

/// Returns the deadline of a request relative to its arrival: the accepted wait plus a multiple of
/// its run time, because callers allow more time for larger requests.
double DeadlineSeconds(const QueueShape& queue, double run_seconds);

/// Configuration and load parameters of one of the two planned deployments.
struct Deployment {
  std::string name;
  Fleet fleet;
  std::vector<QueueShape> queues;
  std::vector<TeamShape> teams;
  std::vector<std::string> zones;
  double shortest_peak_seconds = 12;
  double longest_peak_seconds = 24;
  /// Ratio of the peak load to the slots of the queue's pool.
  double peak_over_capacity = 1.3;
  /// Relative daily variation of each queue's mean load, with a different phase for each queue.
  double daily_swing = 0.2;
  Duration reboot{60'000};
};

/// Ratios of a queue's load to its mean, during a peak and between peaks.
inline constexpr double kPeakOverMean = 5.0;
inline constexpr double kOffPeakOverMean = 0.05;

inline constexpr double kDaySeconds = 86'400;

/// Reads a deployment from `contrib/`; on failure returns nothing and sets `last_reason`.
std::optional<Deployment> LoadDeployment(std::string_view contrib, std::string_view name,
                                         std::string* last_reason);

/// Schedule in which the load peak moves from queue to queue in turn.
class PeakSchedule {
 public:
  /// @param day_seconds period of the daily variation
  PeakSchedule(const Deployment& deployment, double seconds, double day_seconds,
               std::uint64_t seed);

  /// Returns the load of a queue at a time, in busy slots.
  double Load(std::size_t queue, double at_seconds) const;

 private:
  struct Peak {
    double end = 0;
    std::size_t queue = 0;
  };

  const Deployment& m_deployment;
  std::vector<double> m_peak_slots;  // By queue.
  std::vector<Peak> m_peaks;
  double m_day_seconds;
};

/// Draws a run time from a mixture in which four of five runs are short and one is long.
double DrawRunSeconds(double mean, RandomSource& random);

/// Draws the time to the next event of a Poisson process.
double DrawExponential(double mean, RandomSource& random);

}  // namespace cranberryplank::bench

#endif  // CRANBERRYPLANK_BENCH_POLICY_DEPLOYMENT_H_
