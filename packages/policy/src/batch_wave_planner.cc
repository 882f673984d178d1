#include "cranberryplank/policy/batch_wave_planner.h"

#include "wave_budget.h"

namespace cranberryplank {

std::vector<std::string> BatchWavePlanner::Next(const WaveState& state) const {
  std::vector<std::string> batch;
  if (!state.down.empty()) {
    return batch;
  }
  WaveBudget budget(state);
  for (const WaveVm& vm : state.pending) {
    if (budget.Allows(vm)) {
      budget.Add(vm);
      batch.push_back(vm.id);
    }
  }
  return batch;
}

}  // namespace cranberryplank
