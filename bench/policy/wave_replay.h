#ifndef CRANBERRYPLANK_BENCH_POLICY_WAVE_REPLAY_H_
#define CRANBERRYPLANK_BENCH_POLICY_WAVE_REPLAY_H_

#include <cstdint>

#include "cranberryplank/policy/wave_planner.h"
#include "deployment.h"

namespace cranberryplank::bench {

/// Results of full waves.
struct WaveResult {
  double mean_over_bound = 0;  ///< Rollout time over its lower bound.
  double worst_over_bound = 0;
  double mean_seconds = 0;
  int budget_violations = 0;
};

/// Runs full waves over all pools of a deployment at once, each with newly drawn drain times, of
/// which the planner knows estimates only. A wave lasts until the last pool is done.
WaveResult ReplayWaves(const Deployment& deployment, const WavePlanner& planner, int waves,
                       std::uint64_t seed);

}  // namespace cranberryplank::bench

#endif  // CRANBERRYPLANK_BENCH_POLICY_WAVE_REPLAY_H_
