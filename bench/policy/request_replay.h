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
  std::size_t daemon = 0;           ///< That the load balancer picked.
  double arrival = 0;               ///< Seconds.
  double run = 0;                   ///< Seconds.
  double misdeclared_run_time = 0;  ///< Run time declared with an error of up to 10x.
  bool idempotent = false;
};

inline constexpr std::size_t kDaemons = 9;

/// Draws the requests of a deployment, in order of arrival; the same for all policies.
std::vector<LoadRequest> DrawLoad(const Deployment& deployment, double seconds, std::uint64_t seed);

/// Faults of a replay, all at `at_seconds`.
struct ReplayFaults {
  bool misdeclared_run_time = false;  ///< Declared sizes wrong by up to 10x throughout.
  double failing_workers = 0;  ///< Part of the workers that fail at once whatever they start.
  double cancelled = 0;        ///< Part of all waiting requests that is cancelled.
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
  double share_deviation = 0;  ///< Mean over full 10 s windows, part of the capacity.
  int windows = 0;
  double busy = 0;  ///< Part of the capacity in use while the pool was full.
  std::uint64_t in_time = 0;
  std::uint64_t forwarded = 0;
  /// Requests that arrived later than 10 s after the time of the fault.
  std::uint64_t counted = 0;
  std::uint64_t refused_or_late = 0;  ///< Of those counted.
  int moves = 0;
  int quarantined = 0;  ///< Workers out of service for failing at the end.
};

/// Runs the load through the policies of 9 daemons with demand reports of up to 200 ms age.
ReplayResult ReplayRequests(const Deployment& deployment, const std::vector<LoadRequest>& load,
                            const ReplayPolicies& policies, const ReplayFaults& faults,
                            std::uint64_t seed);

}  // namespace cranberryplank::bench

#endif  // CRANBERRYPLANK_BENCH_POLICY_REQUEST_REPLAY_H_
