#ifndef CRANBERRYPLANK_BENCH_POLICY_REQUEST_REPLAY_H_
#define CRANBERRYPLANK_BENCH_POLICY_REQUEST_REPLAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cranberryplank/policy/move_planner.h"
#include "cranberryplank/policy/placement_policy.h"
#include "cranberryplank/policy/share_allocator.h"
#include "deployment.h"

namespace cranberryplank::bench {

/// Request of the replayed load.
struct LoadRequest {
  std::size_t queue = 0;
  std::size_t team = 0;
  std::size_t daemon = 0;           ///< Chosen by the load balancer.
  double arrival = 0;               ///< Seconds.
  double run = 0;                   ///< Seconds.
  double misdeclared_run_time = 0;  ///< Declared run time with an error of up to 10x.
  bool idempotent = false;
};

inline constexpr std::size_t kDaemons = 9;

/// Draws the requests of a deployment in order of arrival. They are independent of the policies.
std::vector<LoadRequest> DrawLoad(const Deployment& deployment, double seconds, std::uint64_t seed);

/// Faults of a replay. All but `misdeclared_run_time` are injected at `at_seconds`.
struct ReplayFaults {
  bool misdeclared_run_time = false;  ///< Declared run times are off by up to 10x throughout.
  double failing_workers = 0;         ///< Fraction of workers whose runs all fail immediately.
  double cancelled = 0;               ///< Fraction of all waiting requests that is cancelled.
  double at_seconds = 0;
};

/// Policies of a replay.
struct ReplayPolicies {
  std::function<std::unique_ptr<ShareAllocator>(const std::string& daemon)> share;
  std::shared_ptr<PlacementPolicy> placement;
  std::function<std::unique_ptr<MovePlanner>()> moves;
};

/// Result of a replay.
struct ReplayResult {
  /// Sum of the teams' deviations from their fair shares, averaged over full 10 s windows, as a
  /// fraction of capacity.
  double share_deviation = 0;
  int windows = 0;
  double busy = 0;  ///< Fraction of the capacity in use while the pool was full.
  std::uint64_t in_time = 0;
  std::uint64_t forwarded = 0;
  /// Requests that arrived at least 10 s after the fault and have an outcome.
  std::uint64_t counted = 0;
  std::uint64_t refused_or_late = 0;  ///< Among the counted requests.
  int moves = 0;
  int quarantined = 0;  ///< Workers out of service at the end because of failures.
};

/// Replays the load through the policies of 9 daemons whose demand reports are up to 200 ms old.
ReplayResult ReplayRequests(const Deployment& deployment, const std::vector<LoadRequest>& load,
                            const ReplayPolicies& policies, const ReplayFaults& faults,
                            std::uint64_t seed);

}  // namespace cranberryplank::bench

#endif  // CRANBERRYPLANK_BENCH_POLICY_REQUEST_REPLAY_H_
