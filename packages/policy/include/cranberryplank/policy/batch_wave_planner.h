#ifndef CRANBERRYPLANK_POLICY_BATCH_WAVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_BATCH_WAVE_PLANNER_H_

#include "cranberryplank/policy/wave_planner.h"

namespace cranberryplank {

/// Baseline: takes down VMs in list order in batches; a batch starts only after every VM of the
/// previous one has returned.
class BatchWavePlanner : public WavePlanner {
 public:
  std::vector<std::string> Next(const WaveState& state) const override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_BATCH_WAVE_PLANNER_H_
