#ifndef CRANBERRYPLANK_BENCH_POLICY_MOVE_REPLAY_H_
#define CRANBERRYPLANK_BENCH_POLICY_MOVE_REPLAY_H_

#include <cstdint>

#include "cranberryplank/policy/move_planner.h"
#include "deployment.h"

namespace cranberryplank::bench {

/// Result of a replay of moves.
struct MoveResult {
  int moves = 0;
  std::uint64_t requests = 0;
  /// Slot-microseconds of all requests and of those completed in time. Integers keep the sums
  /// independent of the completion order.
  std::int64_t work = 0;
  std::int64_t work_in_time = 0;
  /// Fraction of VM-seconds that are free or spent moving. A VM counts as free in proportion to its
  /// idle slots.
  double buffer_cost = 0;

  double InTime() const {
    return work > 0 ? static_cast<double>(work_in_time) / static_cast<double>(work) : 0;
  }
};

/// Duration of a replay of moves.
struct MoveSpan {
  double seconds = kDaySeconds;
  double day_seconds = kDaySeconds;  ///< Period of the daily variation.
};

/// Replays the deployment's load over `span` on a fleet of `vms` VMs, divided among the pools in
/// the deployment's ratio. Each pool serves its requests in order of arrival.
MoveResult ReplayMoves(const Deployment& deployment, int vms, const MoveSpan& span,
                       MovePlanner* planner, std::uint64_t seed);

}  // namespace cranberryplank::bench

#endif  // CRANBERRYPLANK_BENCH_POLICY_MOVE_REPLAY_H_
