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
  /// Slot-microseconds of all requests and of those completed in time. Whole numbers, so that
  /// the order of completion does not show in the sums.
  std::int64_t work = 0;
  std::int64_t work_in_time = 0;
  /// VM-seconds kept free or moving over all VM-seconds. A VM counts as free by the part of its
  /// slots that run nothing.
  double buffer_cost = 0;

  double InTime() const {
    return work > 0 ? static_cast<double>(work_in_time) / static_cast<double>(work) : 0;
  }
};

/// Length of a replay of moves.
struct MoveSpan {
  double seconds = kDaySeconds;
  double day_seconds = kDaySeconds;  ///< Over which the means of the queues swing once.
};

/// Runs a day of the deployment's load over a fleet of `vms` VMs, divided among the pools in the
/// ratio of the deployment. Requests of a pool are served first come first served.
MoveResult ReplayMoves(const Deployment& deployment, int vms, const MoveSpan& span,
                       MovePlanner* planner, std::uint64_t seed);

}  // namespace cranberryplank::bench

#endif  // CRANBERRYPLANK_BENCH_POLICY_MOVE_REPLAY_H_
