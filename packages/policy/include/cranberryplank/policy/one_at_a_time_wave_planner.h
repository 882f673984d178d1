#ifndef CRANBERRYPLANK_POLICY_ONE_AT_A_TIME_WAVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_ONE_AT_A_TIME_WAVE_PLANNER_H_

#include "cranberryplank/policy/wave_planner.h"

namespace cranberryplank {

/// Baseline: takes down one VM at a time, only while no other is down.
class OneAtATimeWavePlanner : public WavePlanner {
 public:
  std::vector<std::string> Next(const WaveState& state) const override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_ONE_AT_A_TIME_WAVE_PLANNER_H_
