#ifndef CRANBERRYPLANK_POLICY_BATCH_WAVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_BATCH_WAVE_PLANNER_H_

#include "cranberryplank/policy/wave_planner.h"

namespace cranberryplank {

/// Baseline: takes down a batch in list order and the next one only after all have returned.
class BatchWavePlanner : public WavePlanner {
 public:
  std::vector<std::string> Next(const WaveState& state) const override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_BATCH_WAVE_PLANNER_H_
