#ifndef CRANBERRYPLANK_BENCH_POLICY_WAVE_REPLAY_H_
#define CRANBERRYPLANK_BENCH_POLICY_WAVE_REPLAY_H_

#include <cstdint>

#include "cranberryplank/policy/wave_planner.h"
#include "deployment.h"

namespace cranberryplank::bench {

/// Result of a replay of full waves.
struct WaveResult {
  double mean_ratio_to_bound = 0;  ///< Ratio of the rollout time to its lower bound.
  double worst_ratio_to_bound = 0;
  double mean_seconds = 0;
  int budget_violations = 0;
};

/// Simulates full waves over all pools of a deployment in parallel. Each wave draws new drain
/// times, and the planner receives only estimates of them. A wave ends when its last pool has
/// finished.
WaveResult ReplayWaves(const Deployment& deployment, const WavePlanner& planner, int waves,
                       std::uint64_t seed);

}  // namespace cranberryplank::bench

#endif  // CRANBERRYPLANK_BENCH_POLICY_WAVE_REPLAY_H_
