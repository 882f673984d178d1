#include "cranberryplank/policy/one_at_a_time_wave_planner.h"

#include "wave_budget.h"

namespace cranberryplank {

std::vector<std::string> OneAtATimeWavePlanner::Next(const WaveState& state) const {
  if (!state.down.empty() || state.pending.empty() ||
      !WaveBudget(state).Allows(state.pending.front())) {
    return {};
  }
  return {state.pending.front().id};
}

}  // namespace cranberryplank
