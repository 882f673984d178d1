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

/// Load of one queue.
struct QueueShape {
  std::string queue;
  std::string pool;
  double run_seconds = 1;    ///< Mean run time.
  double wait_seconds = 10;  ///< Longest wait that callers accept.
};

/// Part of every queue's requests that a team sends.
struct TeamShape {
  std::string team;
  double traffic = 0;
};

/// Deadline of a request, from its arrival: the accepted wait and a multiple of its own run time,
/// since callers allow more time for larger requests.
double DeadlineSeconds(const QueueShape& queue, double run_seconds);

/// One of the two planned deployments: its configuration and the shape of its load.
struct Deployment {
  std::string name;
  Fleet fleet;
  std::vector<QueueShape> queues;
  std::vector<TeamShape> teams;
  std::vector<std::string> zones;
  double shortest_peak_seconds = 12;
  double longest_peak_seconds = 24;
  /// Load of a peak over the slots of the queue's pool.
  double peak_over_capacity = 1.3;
  /// Part by which the mean of each queue rises and falls over a day, each at another hour.
  double daily_swing = 0.2;
  Duration reboot{60'000};
};

/// Mean load of each queue is a fifth of its load in a peak, and between peaks a twentieth of the
/// mean.
inline constexpr double kPeakOverMean = 5.0;
inline constexpr double kOffPeakOverMean = 0.05;

inline constexpr double kDaySeconds = 86'400;

/// Reads a deployment from `contrib/`; on failure returns nothing and sets `last_reason`.
std::optional<Deployment> LoadDeployment(std::string_view contrib, std::string_view name,
                                         std::string* last_reason);

/// Load peaks that go round the queues.
class PeakSchedule {
 public:
  /// @param day_seconds length of the day over which the means swing
  PeakSchedule(const Deployment& deployment, double seconds, double day_seconds,
               std::uint64_t seed);

  /// Load of a queue at a time, in busy slots.
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

/// Draws a run time: four of five are short, one is long.
double DrawRunSeconds(double mean, RandomSource& random);

/// Draws the time to the next event of a Poisson process.
double DrawExponential(double mean, RandomSource& random);

}  // namespace cranberryplank::bench

#endif  // CRANBERRYPLANK_BENCH_POLICY_DEPLOYMENT_H_
