#include "cranberryplank/policy/budget_wave_planner.h"

#include <algorithm>
#include <map>

#include "wave_budget.h"

namespace cranberryplank {

namespace {

// Time that the VMs left in the tighter of a VM's rack and zone take under that budget.
class RemainingWaveTime {
 public:
  explicit RemainingWaveTime(const WaveState& state) : m_state(state) {
    for (const WaveVm& vm : state.pending) {
      m_racks[vm.rack] += vm.drain + state.reboot;
      m_zones[vm.zone] += vm.drain + state.reboot;
    }
  }

  Duration Of(const WaveVm& vm) const {
    return std::max(m_racks.at(vm.rack) / std::max(1, m_state.budget.per_rack),
                    m_zones.at(vm.zone) / std::max(1, m_state.budget.per_zone));
  }

 private:
  const WaveState& m_state;
  std::map<std::string, Duration> m_racks;
  std::map<std::string, Duration> m_zones;
};

}  // namespace

std::vector<std::string> BudgetWavePlanner::Next(const WaveState& state) const {
  const RemainingWaveTime remaining_time(state);
  std::vector<const WaveVm*> order;
  for (const WaveVm& vm : state.pending) {
    order.push_back(&vm);
  }
  std::stable_sort(order.begin(), order.end(), [&](const WaveVm* a, const WaveVm* b) {
    if (m_order == WaveOrder::kTightestBudget) {
      const Duration left = remaining_time.Of(*a);
      const Duration right = remaining_time.Of(*b);
      if (left != right) {
        return left > right;
      }
    }
    return a->drain > b->drain;
  });
  // Racks lie within zones, so admitting greedily in order yields a largest set (the budgets form
  // a laminar matroid).
  WaveBudget budget(state);
  std::vector<std::string> admitted;
  for (const WaveVm* vm : order) {
    if (budget.Allows(*vm)) {
      budget.Add(*vm);
      admitted.push_back(vm->id);
    }
  }
  return admitted;
}

}  // namespace cranberryplank
